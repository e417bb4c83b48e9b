import { performance } from 'node:perf_hooks';
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import { findErrorType } from '../rpc';
import type { Metrics } from './metrics';

interface RequestNote {
  readonly startedAt: number;
  organisation: string;
  hasPiece: boolean;
}

/** Takes note of callers' requests as they pass through the caller API. */
export interface CallerMetrics {
  readonly recordOrganisation: (request: FastifyRequest, organisation: string) => void;
  /** Records the time to the first piece; later calls for the same request do nothing. */
  readonly recordPiece: (request: FastifyRequest, model: string) => void;
}

const SECOND_MS = 1_000;

const readModel = (reply: FastifyReply): string =>
  String(reply.getHeader('x-oleanderfront-model') ?? '');

/** Counts the requests of a callers' port. */
export const registerCallerMetrics = (app: FastifyInstance, metrics: Metrics): CallerMetrics => {
  const notes = new WeakMap<FastifyRequest, RequestNote>();

  app.addHook('onRequest', async (request) => {
    notes.set(request, { startedAt: performance.now(), organisation: '', hasPiece: false });
    metrics.active.inc();
  });

  app.addHook('onResponse', async (request, reply) => {
    metrics.active.dec();
    const organisation = notes.get(request)?.organisation ?? '';
    const status = String(reply.statusCode);
    metrics.requests.inc({ organisation, model: readModel(reply), status });
    const type = findErrorType(request);
    if (type !== undefined) metrics.refusals.inc({ type });
  });

  return {
    recordOrganisation: (request, organisation) => {
      const note = notes.get(request);
      if (note) note.organisation = organisation;
    },
    recordPiece: (request, model) => {
      const note = notes.get(request);
      if (!note || note.hasPiece) return;
      note.hasPiece = true;
      metrics.firstPiece.observe({ model }, (performance.now() - note.startedAt) / SECOND_MS);
    },
  };
};
