import { chooseModelRun } from '../decisions';
import { convertToRouterError } from '../errors';
import type { CallerReply } from './callerReply';
import { waitAtMost } from './deadline';
import type { EndpointChoice } from './endpointChoice';
import type { AdmittedRequest, Exchange, ExchangeEnd, ExchangeParts } from './exchangeTypes';
import { relayAnswer, type AttemptContext, type AttemptResult } from './relayAnswer';
import type { RoutingFacts } from './routingView';

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
/** After failures that did not run, another gateway or moment may do better, in milliseconds. */
const FAILED_RETRY_MS = 200;

const createExchange = (request: AdmittedRequest, reply: CallerReply): Exchange => ({
  request,
  reply,
  tried: new Set(),
  attempts: 0,
  mayHaveRun: false,
  dropped: undefined,
  doubtful: undefined,
  lastEventId: request.caller.lastEventId,
  firstByteAt: undefined,
  events: 0,
  current: undefined,
  reason: '',
  isOver: false,
});

const canRepeat = ({ request, mayHaveRun }: Exchange): boolean => {
  const { kind, canResume } = request.route;
  return !mayHaveRun || kind === 'idempotent' || (kind === 'stream' && canResume);
};

/** Creates a runner of requests. */
export const createExchangeRunner = (parts: ExchangeParts): ExchangeRunner => {
  const { codec, chooser, loads, metrics, log, readNow } = parts;
  let active = 0;

  const logEnd = (exchange: Exchange, end: ExchangeEnd, status: number): void => {
    const { request, attempts, reason, dropped, firstByteAt, events } = exchange;
    const { caller, route, receivedAt, organisation } = request;
    const elapsedMs = Math.round(readNow() - receivedAt);
    metrics.requests.inc({ route: route.name, end });
    metrics.duration.observe({ route: route.name }, elapsedMs / 1_000);
    log.info(
      {
        request: caller.requestId,
        route: route.name,
        organisation: organisation?.name,
        end,
        status,
        attempts,
        dropped,
        elapsedMs,
        firstByteMs: firstByteAt === undefined ? undefined : Math.round(firstByteAt - receivedAt),
        events,
        reason,
      },
      'request ended',
    );
  };

  // Every way out goes through here once, so that nothing is answered or counted twice.
  const settle = (exchange: Exchange, end: ExchangeEnd, status: number): boolean => {
    if (exchange.isOver) return false;
    exchange.isOver = true;
    exchange.current?.cancel();
    logEnd(exchange, end, status);
    return true;
  };

  const refuse = (exchange: Exchange, status: number, retryAfterMs?: number): void => {
    const { request, reply } = exchange;
    const end = status === 503 ? 'refused' : status === 504 ? 'timed_out' : 'failed';
    if (reply.isStarted()) {
      if (settle(exchange, 'broken_off', 0)) reply.abort();
      return;
    }
    if (!settle(exchange, end, status)) return;
    const body = Buffer.from(JSON.stringify({ error: exchange.reason }));
    const headers = codec.encodeRefusal(request.caller.requestId, retryAfterMs);
    reply.send({ status, headers }, body);
  };

  // Only what has certainly not run may be called refused.
  const giveUp = (exchange: Exchange, retryAfterMs: number): void => {
    const { doubtful } = exchange;
    if (doubtful && settle(exchange, 'answered', doubtful.head.status)) {
      exchange.reply.send(doubtful.head, doubtful.body);
      return;
    }
    if (exchange.mayHaveRun) refuse(exchange, 502);
    else refuse(exchange, 503, retryAfterMs);
  };

  const handleLimit = (exchange: Exchange): void => {
    exchange.reason = `no answer in time${exchange.reason && `, before: ${exchange.reason}`}`;
    refuse(exchange, exchange.mayHaveRun || exchange.current ? 504 : 503, FAILED_RETRY_MS);
  };

  const startAttempt = (
    exchange: Exchange,
    facts: RoutingFacts,
    choice: PlacedChoice,
    model: string | undefined,
  ): AttemptContext => {
    const { endpoint, unreadTokens, readMs } = choice;
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
    const budget = parts.findBudget(endpoint.service);
    const share = loads.add(endpoint.id, readMs);
    const common = { parts, exchange, facts, endpoint, model, attempt };
    return { ...common, startedAt: now, budget, share, unreadTokens };
  };

  const logPlaced = (context: AttemptContext, choice: PlacedChoice): void => {
    const { exchange, facts, endpoint, model, startedAt } = context;
    log.info(
      {
        request: exchange.request.caller.requestId,
        route: exchange.request.route.name,
        endpoint: endpoint.id,
        version: endpoint.version,
        model,
        reason: choice.reason,
        predictedMs: Math.round(choice.predictedMs),
        unreadTokens: choice.unreadTokens,
        running: loads.findAll(endpoint.id).running,
        attempt: exchange.attempts + 1,
        revision: facts.revision,
        reportSequence: endpoint.sequence,
        waitedMs: Math.round(startedAt - exchange.request.receivedAt),
      },
      'request placed',
    );
  };

  const handleResult = (exchange: Exchange, result: AttemptResult): void => {
    if (exchange.isOver) return;
    const handlers: Readonly<Record<AttemptResult['type'], () => void>> = {
      done: () => {
        const { status } = result as Extract<AttemptResult, { readonly type: 'done' }>;
        settle(exchange, 'answered', status);
      },
      // The reason was noted where the attempt failed; the loop goes on.
      again: () => {},
    };
    handlers[result.type]();
  };

  const runAttempt = async (exchange: Exchange): Promise<void> => {
    const { request } = exchange;
    const { route, caller } = request;
    const facts = parts.readFacts();
    if (!facts) {
      exchange.reason = 'this gateway has no lease on the configuration';
      giveUp(exchange, NO_LEASE_RETRY_MS);
      return;
    }
    if (exchange.attempts > 0) {
      if (!canRepeat(exchange) || exchange.attempts >= route.attemptLimit) {
        giveUp(exchange, FAILED_RETRY_MS);
        return;
      }
    }
    const { dropped, tried } = exchange;
    const model = chooseModelRun({ models: route.models, dropped });
    const timeLeftMs = request.receivedAt + route.targetLatencyMs - readNow();
    const wanted = { route, caller, model, tried, timeLeftMs };
    const choice = chooser.choose(facts, wanted, readNow());
    if (choice.type === 'refused') {
      exchange.reason = [exchange.reason, choice.reason].filter(Boolean).join('; ');
      giveUp(exchange, choice.retryAfterMs);
      return;
    }
    const { endpoint } = choice;
    const budget = parts.findBudget(endpoint.service);
    const isRepeat = exchange.attempts > 0;
    if (isRepeat && !budget.acquire(readNow(), facts.gatewayCount)) {
      exchange.reason = `${exchange.reason}; no budget for a repeat`;
      giveUp(exchange, FAILED_RETRY_MS);
      return;
    }
    const context = startAttempt(exchange, facts, choice, model);
    logPlaced(context, choice);
    try {
      handleResult(exchange, await relayAnswer(context));
    } finally {
      context.share.end();
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
    reply.onGone(() => settle(exchange, 'caller_gone', 0));
    request.route.targets.forEach(({ service }) =>
      parts.findBudget(service).recordRequest(readNow()),
    );
    try {
      const limited = await waitAtMost(runLoop(exchange), request.limitAt - readNow());
      if (limited.type === 'late') handleLimit(exchange);
    } catch (cause) {
      const error = convertToRouterError(cause, 'gateway.run');
      log.error({ request: request.caller.requestId, err: error }, 'request failed inside');
      exchange.mayHaveRun = true;
      exchange.reason = error.message;
      refuse(exchange, 502);
    } finally {
      active -= 1;
      metrics.active.set(active);
    }
  };

  return { run, countActive: () => active };
};
