import type { WindowBudget } from '../decisions';
import { formatIncarnation, type EndpointReport } from '../registry';
import type { LoadEntry } from './endpointLoads';
import type { Exchange, ExchangeDependencies } from './exchangeTypes';
import { listLoggedBlocks } from './promptBlocks';
import type { ServiceRequest } from './requestQuarantine';
import type { RoutingSnapshot } from './routingView';
import type { EndpointAttempt } from './types';

/** The data of one attempt of a request at an endpoint. */
export interface AttemptContext {
  readonly deps: ExchangeDependencies;
  readonly exchange: Exchange;
  readonly snapshot: RoutingSnapshot;
  readonly endpoint: EndpointReport;
  readonly model: string | undefined;
  readonly attempt: EndpointAttempt;
  /** Monotonic time in milliseconds. */
  readonly startedAt: number;
  /** Events of earlier attempts that the caller had received when this attempt started. */
  readonly eventsBefore: number;
  readonly budget: WindowBudget;
  readonly loadEntry: LoadEntry;
  /** Records that the session's request has ended. */
  readonly endSession: () => void;
  /** Prefill time of the prompts that were pending, ahead or behind, in milliseconds. */
  readonly queueMs: number;
  /** Prompt tokens that were probably not in the endpoint's prefix cache. */
  readonly uncachedTokens: number;
}

/**
 * Longest queue with which the time to a first token is still recorded, in milliseconds. It lasts a
 * few engine steps, so it adds little to that time.
 */
const MAX_SAMPLE_QUEUE_MS = 50;

const createTallyKey = ({ exchange, endpoint, model }: AttemptContext) => ({
  service: endpoint.service,
  version: endpoint.version,
  task: `${exchange.request.route.name}/${model ?? ''}`,
});

/**
 * Records that an attempt returned no complete response, and why. `isEndpointFault` is false if this
 * gateway did not send the request.
 */
export const recordFailure = (
  context: AttemptContext,
  reason: string,
  mayHaveRun: boolean,
  isEndpointFault = true,
): void => {
  const { deps, exchange, endpoint, model, startedAt } = context;
  const now = deps.readNow();
  exchange.tried.add(endpoint.id);
  exchange.reason = reason;
  if (mayHaveRun) {
    exchange.mayHaveRun = true;
    exchange.doubtfulAnswer = undefined;
  }
  deps.metrics.attempts.inc({ service: endpoint.service, result: 'failed' });
  if (isEndpointFault) deps.loads.recordOutcome(endpoint.id, 'failed', now);
  if (mayHaveRun) deps.tallies.record(createTallyKey(context), { type: 'failed' });
  deps.log.info(
    {
      request: exchange.request.caller.requestId,
      fingerprint: exchange.request.fingerprint,
      blocks: listLoggedBlocks(exchange.request.caller),
      endpoint: endpoint.id,
      endpointStartedAt: endpoint.startedAt,
      model,
      mayHaveRun,
      reason,
      attemptMs: Math.round(now - startedAt),
      attemptEvents: exchange.events - context.eventsBefore,
      lastEventId: exchange.lastEventId,
    },
    'attempt failed',
  );
};

/** Creates what a request is recognised by among the requests to a service. */
export const createServiceRequest = (
  { request }: Pick<Exchange, 'request'>,
  service: string,
): ServiceRequest => ({
  service,
  fingerprint: request.fingerprint,
  blocks: request.caller.promptBlocks,
});

/** Records that the endpoint went on after it had begun to answer. */
export const recordSurvival = ({ deps, exchange, endpoint }: AttemptContext): void => {
  deps.quarantine.recordAnswer(createServiceRequest(exchange, endpoint.service));
};

/**
 * Records that the endpoint's connection was lost or could not be established, after which the
 * endpoint may be cold.
 */
export const recordEndpointLoss = ({ deps, endpoint }: AttemptContext): void =>
  deps.coldPermits.recordLoss(endpoint, deps.readNow());

/** Records that an attempt ended with its connection before the endpoint had survived it. */
export const recordConnectionLoss = (context: AttemptContext, isAnswering: boolean): void => {
  const { deps, exchange, endpoint, startedAt } = context;
  const incarnation = formatIncarnation(endpoint);
  const loss = { incarnation, startedAt, lostAt: deps.readNow(), isAnswering };
  deps.quarantine.recordLoss(
    createServiceRequest(exchange, endpoint.service),
    exchange.request.caller.requestId,
    loss,
  );
};

/** Records a complete response; `timeMs` is what its version is judged by. */
export const recordSuccess = (context: AttemptContext, timeMs: number): void => {
  const { deps, endpoint } = context;
  deps.metrics.attempts.inc({ service: endpoint.service, result: 'ok' });
  deps.loads.recordOutcome(endpoint.id, 'ok', deps.readNow());
  deps.tallies.record(createTallyKey(context), { type: 'answered', cost: 0, timeMs });
};

/** Records the time of a complete answer without a stream, by which endpoints are compared. */
export const recordAnswerTime = ({
  deps,
  endpoint,
  exchange,
  snapshot,
  startedAt,
}: AttemptContext): void => {
  const now = deps.readNow();
  const run = { endpoint, route: exchange.request.route.name };
  deps.chooser.recordAnswer(snapshot, run, now - startedAt, now);
};

/** Records that the caller gets the first byte of the response. */
export const recordFirstByte = ({ deps, exchange }: AttemptContext): void => {
  const { route, receivedAt } = exchange.request;
  const now = deps.readNow();
  exchange.firstByteAt ??= now;
  const seconds = (now - receivedAt) / 1_000;
  deps.metrics.firstByte.observe({ route: route.name }, seconds);
};

/** Records the first event of a stream, which ends the prefill of its prompt. */
export const recordFirstEvent = (context: AttemptContext): void => {
  const { deps, endpoint, snapshot, model, exchange, loadEntry, queueMs, uncachedTokens } = context;
  loadEntry.endPrefill();
  const { caller } = exchange.request;
  const name = model ?? caller.model;
  // With a longer queue, the delay depends more on the queued prompts than on this one.
  if (name === undefined || queueMs > MAX_SAMPLE_QUEUE_MS) return;
  const { promptTokens } = caller;
  const prefill = { endpoint, model: name, uncachedTokens, promptTokens };
  const now = deps.readNow();
  deps.chooser.recordFirstToken(snapshot, prefill, now - context.startedAt, now);
};

/** Records the time per event of a running stream, in milliseconds. */
export const recordEventGap = (
  { deps, endpoint, model, exchange }: AttemptContext,
  gapMs: number,
): void => {
  const name = model ?? exchange.request.caller.model;
  if (name !== undefined) {
    deps.chooser.recordEventGap({ endpoint, model: name }, gapMs, deps.readNow());
  }
};
