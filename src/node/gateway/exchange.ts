import { chooseFirstModel } from '../decisions';
import { convertToRouterError } from '../errors';
import type { EndpointReport } from '../registry';
import { isRepeatableRoute } from '../routing';
import type { CallerReply } from './callerReply';
import { waitAtMost } from './deadline';
import type { EndpointChoice } from './endpointChoice';
import { createChoiceRequest, createModelQuestion } from './choiceRequest';
import { createExchangeEnds, FAILED_RETRY_MS } from './exchangeEnds';
import type { AdmittedRequest, Exchange, ExchangeParts } from './exchangeTypes';
import { relayAnswer, type AttemptContext } from './relayAnswer';
import type { RoutingFacts } from './routingView';

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
  mayHaveRun: false,
  dropped: undefined,
  secondModel: undefined,
  confidence: undefined,
  doubtful: undefined,
  lastEventId: request.caller.lastEventId,
  firstByteAt: undefined,
  events: 0,
  current: undefined,
  reason: '',
  isOver: false,
});

const canRepeat = ({ request, mayHaveRun }: Exchange): boolean =>
  !mayHaveRun || isRepeatableRoute(request.route);

const logPlaced = (context: AttemptContext, choice: PlacedChoice): void => {
  const { parts, exchange, facts, endpoint, model, startedAt } = context;
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
      unreadTokens: choice.unreadTokens,
      running: parts.loads.findAll(endpoint.id, startedAt).running,
      attempt: exchange.attempts + 1,
      revision: facts.revision,
      reportSequence: endpoint.sequence,
      waitedMs: Math.round(startedAt - exchange.request.receivedAt),
    },
    'request placed',
  );
};

// Called at the start and at the end of an attempt: the session's next request may arrive while the
// attempt is running or after it has ended.
const recordSession = (
  parts: ExchangeParts,
  { request }: Exchange,
  sentTo: EndpointReport,
): void => {
  const { session } = request.caller;
  if (session === undefined) return;
  parts.sessions.record(sentTo.service, session, sentTo.version, parts.readNow());
};

/** Creates a runner for admitted requests. */
export const createExchangeRunner = (parts: ExchangeParts): ExchangeRunner => {
  const { codec, chooser, loads, metrics, log, readNow } = parts;
  const ends = createExchangeEnds(parts);
  let active = 0;

  const startAttempt = (
    exchange: Exchange,
    facts: RoutingFacts,
    choice: PlacedChoice,
    model: string | undefined,
  ): AttemptContext => {
    const { endpoint, unreadTokens, queueMs, readMs } = choice;
    const { request, lastEventId } = exchange;
    const { caller, method, path, body, organisation, limitAt } = request;
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
    exchange.current = attempt;
    chooser.recordSent(facts, { caller, model }, endpoint);
    recordSession(parts, exchange, endpoint);
    const budget = parts.findBudget(endpoint.service);
    const share = loads.add(endpoint.id, { startsAt: now + queueMs, readMs });
    const common = { parts, exchange, facts, endpoint, model, attempt };
    return { ...common, startedAt: now, budget, share, queueMs, unreadTokens };
  };

  const runAttempt = async (exchange: Exchange): Promise<void> => {
    const { request } = exchange;
    const { route } = request;
    const facts = parts.readFacts();
    if (!facts) {
      exchange.reason = 'the gateway has no valid lease on the configuration';
      ends.settleUnanswered(exchange, NO_LEASE_RETRY_MS);
      return;
    }
    if (exchange.attempts > 0) {
      if (!canRepeat(exchange) || exchange.attempts >= route.attemptLimit) {
        ends.settleUnanswered(exchange, FAILED_RETRY_MS);
        return;
      }
    }
    const model =
      exchange.secondModel ?? chooseFirstModel(createModelQuestion(parts, exchange, facts));
    const choice = chooser.choose(
      facts,
      createChoiceRequest(exchange, model, readNow()),
      readNow(),
    );
    if (choice.type === 'refused') {
      exchange.reason = [exchange.reason, choice.reason].filter(Boolean).join('; ');
      ends.settleUnanswered(exchange, choice.retryAfterMs);
      return;
    }
    const { endpoint } = choice;
    const budget = parts.findBudget(endpoint.service);
    const isRepeat = exchange.attempts > 0;
    if (isRepeat && !budget.acquire(readNow(), facts.gatewayCount)) {
      exchange.reason = `${exchange.reason}; the retry budget is used up`;
      ends.settleUnanswered(exchange, FAILED_RETRY_MS);
      return;
    }
    const context = startAttempt(exchange, facts, choice, model);
    logPlaced(context, choice);
    try {
      const result = await relayAnswer(context);
      if (result.type === 'done') ends.settle(exchange, 'answered', result.status);
    } finally {
      context.share.end();
      recordSession(parts, exchange, choice.endpoint);
      exchange.current?.cancel();
      exchange.current = undefined;
    }
  };

  const runLoop = async (exchange: Exchange): Promise<void> => {
    while (!exchange.isOver) await runAttempt(exchange);
  };

  const run: ExchangeRunner['run'] = async (request, reply) => {
    const exchange = createExchange(request, reply);
    active += 1;
    metrics.active.set(active);
    reply.onGone(() => ends.settle(exchange, 'caller_gone', 0));
    request.route.targets.forEach(({ service }) =>
      parts.findBudget(service).recordRequest(readNow()),
    );
    try {
      const limited = await waitAtMost(runLoop(exchange), request.limitAt - readNow());
      if (limited.type === 'late') ends.handleLimit(exchange);
    } catch (cause) {
      const error = convertToRouterError(cause, 'gateway.run');
      log.error(
        { request: request.caller.requestId, err: error },
        'request failed with an unexpected error',
      );
      exchange.mayHaveRun = true;
      exchange.reason = error.message;
      ends.refuse(exchange, 502);
    } finally {
      active -= 1;
      metrics.active.set(active);
    }
  };

  return { run, countActive: () => active };
};
