import { performance } from 'node:perf_hooks';
import type { FastifyInstance, FastifyReply } from 'fastify';
import type { RouterError } from '../errors';
import type { Logger } from '../log';
import type { Metrics } from '../metrics';
import { findError } from '../rpc';
import type { DecisionLog } from './decisionLog';
import type { RequestRunner } from './requestRunner';
import type { RunAnswer, RunRequest } from './runTypes';

interface TrackedRequest {
  readonly startedAt: number;
  readonly organisation?: string;
}

const SECOND_MS = 1_000;

const readModel = (reply: FastifyReply): string =>
  String(reply.getHeader('x-oleanderfront-model') ?? '');

// Forwards `return` to the wrapped generator, so that a disconnect ends it even before a read.
const createObservedChunks = (
  chunks: RunAnswer['chunks'],
  recordFirst: () => void,
): RunAnswer['chunks'] => {
  let isFirst = true;
  const observed: RunAnswer['chunks'] = Object.create(chunks) as RunAnswer['chunks'];
  return Object.assign(observed, {
    next: async () => {
      const chunk = await chunks.next();
      if (isFirst && !chunk.done) recordFirst();
      isFirst = false;
      return chunk;
    },
    return: (value: unknown) => chunks.return(value),
    throw: (cause: unknown) => chunks.throw(cause),
    [Symbol.asyncIterator]: () => observed,
  });
};

/** Where the requests on a caller port are recorded. */
export interface RequestRecorders {
  readonly metrics: Metrics;
  readonly decisions: DecisionLog;
  readonly log: Logger;
}

/**
 * Counts the requests on a caller port and records refusals. Returns the runner that the routes
 * of the port must use.
 */
export const createRecordingRunner = (
  app: FastifyInstance,
  runner: RequestRunner,
  recorders: RequestRecorders,
): RequestRunner => {
  const { metrics, decisions, log } = recorders;
  const tracked = new Map<string, TrackedRequest>();

  // Requests without a valid key are skipped, since they could evict the decisions of others.
  const recordError = (requestId: string, organisation: string, error: RouterError): void => {
    const { type, step, peer, outcome, message: reason } = error;
    metrics.refusals.inc({ type });
    if (type === 'unauthenticated' || step.startsWith('http.')) return;
    const decision = outcome === 'not_run' ? 'refused' : 'failed';
    const fields = { organisation, type, step, peer, outcome, reason };
    decisions.add(requestId, decision, fields);
    log.info({ requestId, ...fields }, decision);
  };

  app.addHook('onRequest', async (request) => {
    tracked.set(request.id, { startedAt: performance.now() });
    metrics.active.inc();
  });

  app.addHook('onResponse', async (request, reply) => {
    metrics.active.dec();
    const organisation = tracked.get(request.id)?.organisation ?? '';
    tracked.delete(request.id);
    const status = String(reply.statusCode);
    metrics.requests.inc({ organisation, model: readModel(reply), status });
    const error = findError(request);
    if (error) recordError(request.id, organisation, error);
  });

  const run = async (request: RunRequest): Promise<RunAnswer> => {
    const known = tracked.get(request.requestId);
    if (!known) return runner.run(request);
    tracked.set(request.requestId, { ...known, organisation: request.organisation.name });
    const answer = await runner.run(request);
    const recordFirst = (): void =>
      metrics.firstPiece.observe(
        { model: answer.model },
        (performance.now() - known.startedAt) / SECOND_MS,
      );
    return { ...answer, chunks: createObservedChunks(answer.chunks, recordFirst) };
  };

  return { ...runner, run };
};
