import { chooseFirstModel } from '../decisions';
import { convertToRouterError } from '../errors';
import type { EndpointReport } from '../registry';
import { isRetryableRoute } from '../routing';
import type { CallerReply } from './callerReply';
import { waitWithTimeout } from './deadline';
import type { EndpointChoice } from './endpointChoice';
import { createChoiceRequest, createModelInput } from './choiceRequest';
import { createExchangeCompletion, FAILED_RETRY_MS } from './exchangeCompletion';
import type { AdmittedRequest, Exchange, ExchangeDependencies } from './exchangeTypes';
import { relayResponse, type AttemptContext } from './relayResponse';
import type { RoutingSnapshot } from './routingView';

/** Runs requests from their admission to their answer. */
export interface ExchangeRunner {
  readonly run: (request: AdmittedRequest, reply: CallerReply) => Promise<void>;
  readonly countActive: () => number;
}

type PlacedChoice = Extract<EndpointChoice, { readonly type: 'placed' }>;

/** Time to open a connection before another endpoint is tried, in milliseconds; far above the way there. */
const CONNECT_TIMEOUT_MS = 400;
/** Without a lease the next renewal is worth waiting for, in milliseconds. */
const NO_LEASE_RETRY_MS = 300;
const createExchange = (request: AdmittedRequest, reply: CallerReply): Exchange => ({
  request,
  reply,
  tried: new Set(),
  attempts: 0,
  mayHaveRun: false,
  dropped: undefined,
  secondModel: undefined,
  confidence: undefined,
  unverified: undefined,
  lastEventId: request.caller.lastEventId,
  firstByteAt: undefined,
  events: 0,
  currentAttempt: undefined,
  reason: '',
  isFinished: false,
});

const canRetry = ({ request, mayHaveRun }: Exchange): boolean =>
  !mayHaveRun || isRetryableRoute(request.route);

const logPlaced = (context: AttemptContext, choice: PlacedChoice): void => {
  const { deps: parts, exchange, snapshot: facts, endpoint, model, startedAt } = context;
  parts.log.info(
    {
      request: exchange.request.caller.requestId,
      route: exchange.request.route.name,
      promptTokens: exchange.request.caller.promptTokens,
      endpoint: endpoint.id,
      version: endpoint.version,
      model,
      reason: choice.reason,
      predictedMs: Math.round(choice.predictedMs),
      queueMs: Math.round(choice.queueMs),
      unreadTokens: choice.uncachedTokens,
      running: parts.loads.findTotal(endpoint.id, startedAt).running,
      attempt: exchange.attempts + 1,
      revision: facts.revision,
      reportSequence: endpoint.sequence,
      waitedMs: Math.round(startedAt - exchange.request.receivedAt),
    },
    'request placed',
  );
};

// Both at the beginning and at the end: the next request of a session may come before either.
const recordSession = (
  parts: ExchangeDependencies,
  { request }: Exchange,
  sentTo: EndpointReport,
): void => {
  const { session } = request.caller;
  if (session === undefined) return;
  parts.sessions.record(sentTo.service, session, sentTo.version, parts.readNow());
};

/** Creates a runner of requests. */
export const createExchangeRunner = (parts: ExchangeDependencies): ExchangeRunner => {
  const { codec, chooser, loads, metrics, log, readNow } = parts;
  const completion = createExchangeCompletion(parts);
  let active = 0;

  const startAttempt = (
    exchange: Exchange,
    facts: RoutingSnapshot,
    choice: PlacedChoice,
    model: string | undefined,
  ): AttemptContext => {
    const { endpoint, uncachedTokens: unreadTokens, queueMs, prefillMs: readMs } = choice;
    const { request, lastEventId } = exchange;
    const { caller, method, path, body, organisation, deadlineAt: limitAt } = request;
    const now = readNow();
    const headers = codec.encodeAttempt(caller, {
      endpointId: endpoint.id,
      organisation: organisation?.name,
      deadlineMs: caller.deadlineMs === undefined ? undefined : Math.max(1, limitAt - now),
      model,
      lastEventId,
    });
    const attempt = parts.startAttempt({
      endpoint,
      method,
      path,
      headers,
      body,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
    });
    exchange.currentAttempt = attempt;
    chooser.recordSent(facts, { caller, model }, endpoint);
    recordSession(parts, exchange, endpoint);
    const budget = parts.findBudget(endpoint.service);
    const share = loads.add(endpoint.id, { startsAt: now + queueMs, prefillMs: readMs });
    const common = { deps: parts, exchange, snapshot: facts, endpoint, model, attempt };
    return {
      ...common,
      startedAt: now,
      budget,
      loadEntry: share,
      queueMs,
      uncachedTokens: unreadTokens,
    };
  };

  const runAttempt = async (exchange: Exchange): Promise<void> => {
    const { request } = exchange;
    const { route } = request;
    const facts = parts.readSnapshot();
    if (!facts) {
      exchange.reason = 'this gateway has no lease on the configuration';
      completion.settleWithoutResponse(exchange, NO_LEASE_RETRY_MS);
      return;
    }
    if (exchange.attempts > 0) {
      if (!canRetry(exchange) || exchange.attempts >= route.attemptLimit) {
        completion.settleWithoutResponse(exchange, FAILED_RETRY_MS);
        return;
      }
    }
    const model =
      exchange.secondModel ?? chooseFirstModel(createModelInput(parts, exchange, facts));
    const choice = chooser.choose(
      facts,
      createChoiceRequest(exchange, model, readNow()),
      readNow(),
    );
    if (choice.type === 'refused') {
      exchange.reason = [exchange.reason, choice.reason].filter(Boolean).join('; ');
      completion.settleWithoutResponse(exchange, choice.retryAfterMs);
      return;
    }
    const { endpoint } = choice;
    const budget = parts.findBudget(endpoint.service);
    const isRetry = exchange.attempts > 0;
    if (isRetry && !budget.acquire(readNow(), facts.gatewayCount)) {
      exchange.reason = `${exchange.reason}; no budget for a repeat`;
      completion.settleWithoutResponse(exchange, FAILED_RETRY_MS);
      return;
    }
    const context = startAttempt(exchange, facts, choice, model);
    logPlaced(context, choice);
    try {
      const result = await relayResponse(context);
      if (result.type === 'done') completion.settle(exchange, 'answered', result.status);
    } finally {
      context.loadEntry.release();
      recordSession(parts, exchange, choice.endpoint);
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
      parts.findBudget(service).recordRequest(readNow()),
    );
    try {
      const limited = await waitWithTimeout(runLoop(exchange), request.deadlineAt - readNow());
      if (limited.type === 'late') completion.handleTimeout(exchange);
    } catch (cause) {
      const error = convertToRouterError(cause, 'gateway.run');
      log.error({ request: request.caller.requestId, err: error }, 'request failed inside');
      exchange.mayHaveRun = true;
      exchange.reason = error.message;
      completion.refuse(exchange, 502);
    } finally {
      active -= 1;
      metrics.active.set(active);
    }
  };

  return { run, countActive: () => active };
};
