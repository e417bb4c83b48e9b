import { chooseFirstModel } from '../decisions';
import { convertToRouterError } from '../errors';
import type { EndpointReport } from '../registry';
import { isRetryableRoute } from '../routing';
import type { CallerReply } from './callerReply';
import { waitWithTimeout } from './deadline';
import { admitExchange } from './exchangeAdmission';
import { chooseService, type EndpointChoice, type VersionBasis } from './endpointChoice';
import { createChoiceRequest, createModelInput } from './choiceRequest';
import { createExchangeCompletion, FAILED_RETRY_MS } from './exchangeCompletion';
import type { AdmittedRequest, Exchange, ExchangeDependencies } from './exchangeTypes';
import { createServiceRequest, type AttemptContext } from './attemptRecords';
import { findResumeId } from './closeDelimitedEnd';
import { relayResponse } from './relayResponse';
import { listLoggedBlocks } from './promptBlocks';
import type { GuardVerdict } from './requestGuard';
import type { RoutingSnapshot } from './routingView';

/** Runs admitted requests until they are answered or refused. */
export interface ExchangeRunner {
  readonly run: (request: AdmittedRequest, reply: CallerReply) => Promise<void>;
  readonly countActive: () => number;
}

type PlacedChoice = Extract<EndpointChoice, { readonly type: 'placed' }>;

/**
 * Connect timeout before another endpoint is tried, in milliseconds; much longer than the network
 * latency.
 */
const CONNECT_TIMEOUT_MS = 400;
/** Retry delay without a lease, in milliseconds; the lease is probably renewed by then. */
const NO_LEASE_RETRY_MS = 300;

const createExchange = (request: AdmittedRequest, reply: CallerReply): Exchange => ({
  request,
  reply,
  tried: new Set(),
  attempts: 0,
  isAdmitted: false,
  priority: undefined,
  mayHaveRun: false,
  isProbe: false,
  dropped: undefined,
  secondModel: undefined,
  confidence: undefined,
  doubtfulAnswer: undefined,
  unconfirmedEndId: undefined,
  begunEvent: undefined,
  lastEventId: request.caller.lastEventId,
  previousEventId: undefined,
  firstByteAt: undefined,
  events: 0,
  currentAttempt: undefined,
  reason: '',
  isFinished: false,
});

// Once the response to the caller has started, another attempt can only resume a stream, which takes
// the id of an event.
const canRetry = ({ request: { route }, reply, mayHaveRun, lastEventId }: Exchange): boolean => {
  const canResume = route.kind === 'stream' && lastEventId !== undefined;
  return (!reply.isStarted() || canResume) && (!mayHaveRun || isRetryableRoute(route));
};

const convertToWholeMs = (value: number | undefined): number | undefined =>
  value === undefined ? undefined : Math.round(value);

const formatVersionBasis = (basis: VersionBasis) => ({
  versionReason: basis.reason,
  versionFallback: basis.isFallback,
  rolloutStage: basis.rolloutStage,
  rolloutAgeMs: convertToWholeMs(basis.rolloutAgeMs),
  sessionVersion: basis.sessionVersion,
  sessionAgeMs: convertToWholeMs(basis.sessionAgeMs),
});

const logPlaced = (context: AttemptContext, choice: PlacedChoice): void => {
  const { deps, exchange, snapshot, endpoint, model, startedAt } = context;
  deps.log.info(
    {
      request: exchange.request.caller.requestId,
      route: exchange.request.route.name,
      promptTokens: exchange.request.caller.promptTokens,
      fingerprint: exchange.request.fingerprint,
      blocks: listLoggedBlocks(exchange.request.caller),
      endpoint: endpoint.id,
      version: endpoint.version,
      session: exchange.request.caller.session,
      ...formatVersionBasis(choice.versionBasis),
      model,
      reason: choice.reason,
      predictedMs: Math.round(choice.predictedMs),
      queueMs: Math.round(choice.queueMs),
      displacedMs: convertToWholeMs(choice.displacedMs),
      priority: choice.priority,
      unreadTokens: choice.uncachedTokens,
      running: deps.loads.findTotal(endpoint.id, startedAt).running,
      attempt: exchange.attempts + 1,
      revision: snapshot.revision,
      reportSequence: endpoint.sequence,
      waitedMs: Math.round(startedAt - exchange.request.receivedAt),
    },
    'request placed',
  );
};

// The session's next request may arrive while the attempt is running or after it has ended.
const startSession = (
  { sessions, readNow }: ExchangeDependencies,
  { request }: Exchange,
  { service, version }: EndpointReport,
): (() => void) => {
  const { session } = request.caller;
  if (session === undefined) return () => {};
  const end = sessions.start({ service, session, version }, readNow());
  return () => end(readNow());
};

const bindSession = async (
  { sessionExchange }: ExchangeDependencies,
  { route, caller }: AdmittedRequest,
  snapshot: RoutingSnapshot,
): Promise<void> => {
  if (caller.session === undefined) return;
  await sessionExchange.bindUnknown(snapshot, chooseService(route, caller), caller.session);
};

const recordPriority = (
  { metrics }: ExchangeDependencies,
  { endpoint: { service }, priority, displacedMs = 0 }: PlacedChoice,
): void => {
  if (priority === undefined) return;
  metrics.enginePriorities.inc({ service, priority });
  metrics.displacedWork.inc({ service }, displacedMs / 1_000);
};

const startAttempt = (
  deps: ExchangeDependencies,
  exchange: Exchange,
  snapshot: RoutingSnapshot,
  choice: PlacedChoice,
  model: string | undefined,
): AttemptContext => {
  const { codec, chooser, loads, readNow } = deps;
  const { endpoint, uncachedTokens, prefillMs, priority, displacedMs = 0 } = choice;
  const queueMs = choice.queueMs + displacedMs;
  const { request } = exchange;
  const { caller, method, path, body, organisation, deadlineAt } = request;
  const now = readNow();
  const headers = codec.encodeAttempt(caller, {
    endpointId: endpoint.id,
    organisation: organisation?.name,
    deadlineMs: caller.deadlineMs === undefined ? undefined : Math.max(1, deadlineAt - now),
    model,
    lastEventId: findResumeId(exchange),
    priority,
  });
  const canSend = deps.coldPermits.recordSent(endpoint, now);
  exchange.priority = priority;
  recordPriority(deps, choice);
  const attempt = deps.startAttempt({
    endpoint,
    canSend,
    method,
    path,
    headers,
    body,
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
  });
  exchange.currentAttempt = attempt;
  deps.limits.recordSent(endpoint, now);
  chooser.recordSent(snapshot, { caller, model }, endpoint);
  const endSession = startSession(deps, exchange, endpoint);
  const budget = deps.findBudget(endpoint.service);
  const loadEntry = loads.add(endpoint.id, { sentAt: now, prefillMs, priority });
  const common = { deps, exchange, snapshot, endpoint, model, attempt };
  const before = { startedAt: now, eventsBefore: exchange.events };
  return { ...common, ...before, budget, loadEntry, endSession, queueMs, uncachedTokens };
};

// An answer that has begun shows that the request is harmless.
const checkRequest = async (
  { requestGuard }: ExchangeDependencies,
  exchange: Exchange,
): Promise<GuardVerdict> => {
  const { route, caller } = exchange.request;
  if (exchange.events > 0) return { type: 'free' };
  const request = createServiceRequest(exchange, chooseService(route, caller));
  return requestGuard.check(request, caller.requestId, !exchange.mayHaveRun);
};

/** Creates a runner for admitted requests. */
export const createExchangeRunner = (deps: ExchangeDependencies): ExchangeRunner => {
  const { chooser, metrics, log, readNow } = deps;
  const completion = createExchangeCompletion(deps);
  let active = 0;

  const settleRefused = (
    exchange: Exchange,
    { reason, retryAfterMs }: { readonly reason: string; readonly retryAfterMs: number },
  ): void => {
    exchange.reason = [exchange.reason, reason].filter(Boolean).join('; ');
    completion.settleWithoutResponse(exchange, retryAfterMs);
  };

  const settleWithoutLease = (exchange: Exchange): void => {
    exchange.reason = 'the gateway has no valid lease on the configuration';
    completion.settleWithoutResponse(exchange, NO_LEASE_RETRY_MS);
  };

  const runAttempt = async (exchange: Exchange): Promise<void> => {
    const { request } = exchange;
    const { route } = request;
    const leased = deps.readSnapshot();
    if (!leased) {
      settleWithoutLease(exchange);
      return;
    }
    if (exchange.attempts > 0) {
      if (!canRetry(exchange) || exchange.attempts >= route.attemptLimit) {
        completion.settleWithoutResponse(exchange, FAILED_RETRY_MS);
        return;
      }
    }
    const verdict = await checkRequest(deps, exchange);
    if (exchange.isFinished) return;
    if (verdict.type === 'refused') {
      settleRefused(exchange, verdict);
      return;
    }
    exchange.isProbe = verdict.type === 'probe';
    deps.limits.recordDemand(chooseService(route, request.caller), readNow());
    await bindSession(deps, request, leased);
    if (exchange.isFinished) return;
    // The lease may have run out during these calls, for example while the process was paused.
    const snapshot = deps.readSnapshot();
    if (!snapshot) {
      settleWithoutLease(exchange);
      return;
    }
    const model =
      exchange.secondModel ?? chooseFirstModel(createModelInput(deps, exchange, snapshot));
    const choice = chooser.choose(
      snapshot,
      createChoiceRequest(exchange, model, readNow()),
      readNow(),
    );
    if (choice.coldShortage) {
      const service = chooseService(route, request.caller);
      deps.coldPermits.recordDemand(service, choice.coldShortage, readNow());
    }
    if (choice.type === 'refused') {
      settleRefused(exchange, choice);
      return;
    }
    const admission = admitExchange(deps, exchange, snapshot, model, choice);
    const admitted = admission.type === 'wait' ? await admission.end : admission;
    if (admitted.type === 'refused') settleRefused(exchange, admitted);
    // After a wait, the endpoint and the model are chosen again.
    if (admission.type !== 'run') return;
    const { endpoint } = choice;
    const budget = deps.findBudget(endpoint.service);
    const isRetry = exchange.attempts > 0;
    if (isRetry && !budget.acquire(readNow(), snapshot.gatewayCount)) {
      exchange.reason = `${exchange.reason}; the retry budget is used up`;
      completion.settleWithoutResponse(exchange, FAILED_RETRY_MS);
      return;
    }
    const context = startAttempt(deps, exchange, snapshot, choice, model);
    logPlaced(context, choice);
    try {
      const result = await relayResponse(context);
      if (result.type === 'done') completion.settle(exchange, 'answered', result.status);
    } finally {
      context.loadEntry.release();
      context.endSession();
      exchange.currentAttempt?.cancel();
      exchange.currentAttempt = undefined;
    }
  };

  const runLoop = async (exchange: Exchange): Promise<void> => {
    while (!exchange.isFinished) await runAttempt(exchange);
  };

  const run: ExchangeRunner['run'] = async (request, reply) => {
    const exchange = createExchange(request, reply);
    active += 1;
    metrics.active.set(active);
    reply.onDisconnect(() => completion.settle(exchange, 'caller_gone', 0));
    request.route.targets.forEach(({ service }) =>
      deps.findBudget(service).recordRequest(readNow()),
    );
    try {
      const result = await waitWithTimeout(runLoop(exchange), request.deadlineAt - readNow());
      if (result.type === 'late') completion.handleTimeout(exchange);
    } catch (cause) {
      const error = convertToRouterError(cause, 'gateway.run');
      log.error(
        { request: request.caller.requestId, err: error },
        'request failed with an unexpected error',
      );
      exchange.mayHaveRun = true;
      exchange.reason = error.message;
      completion.refuse(exchange, 502);
    } finally {
      active -= 1;
      metrics.active.set(active);
      if (!reply.isEnded()) {
        log.error({ request: request.caller.requestId }, 'request ended without a response');
        reply.abort();
      }
    }
  };

  return { run, countActive: () => active };
};
