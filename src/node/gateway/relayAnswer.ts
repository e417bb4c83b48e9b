import { chooseSecondModel, type WindowBudget } from '../decisions';
import type { EndpointReport } from '../registry';
import { isRepeatableRoute } from '../routing';
import { BODILESS_STATUSES, type ReplyHead } from './callerReply';
import { createModelQuestion } from './choiceRequest';
import { waitAtMost } from './deadline';
import type { LoadShare } from './endpointLoads';
import { createEventReader } from './eventReader';
import type { Exchange, ExchangeParts } from './exchangeTypes';
import type { RoutingFacts } from './routingView';
import type { AnswerHead, EndpointAttempt } from './types';

/** The data of one attempt of a request at an endpoint. */
export interface AttemptContext {
  readonly parts: ExchangeParts;
  readonly exchange: Exchange;
  readonly facts: RoutingFacts;
  readonly endpoint: EndpointReport;
  readonly model: string | undefined;
  readonly attempt: EndpointAttempt;
  /** Monotonic time in milliseconds. */
  readonly startedAt: number;
  readonly budget: WindowBudget;
  readonly share: LoadShare;
  /** Prefill time of the prompts that were queued ahead, in milliseconds. */
  readonly queueMs: number;
  /** Prompt tokens that were probably not in the endpoint's prefix cache. */
  readonly unreadTokens: number;
}

/**
 * The result of an attempt: `done` if the caller has its response, `again` if another attempt may
 * follow.
 */
export type AttemptResult =
  { readonly type: 'done'; readonly status: number } | { readonly type: 'again' };

/** Another endpoint is tried when there is no response within this many times the target latency. */
const SILENCE_FACTOR = 2;
/**
 * A stream without an event for this many times the route's target gap is resumed at another
 * endpoint.
 */
const STALL_FACTOR = 1.5;
/** Target gap between events, in milliseconds, for routes that set none. */
const DEFAULT_GAP_MS = 1_500;

/**
 * Longest queue with which the time to a first token is still recorded, in milliseconds. It lasts a
 * few engine steps, so it adds little to that time.
 */
const LONGEST_SAMPLE_QUEUE_MS = 50;

const AGAIN: AttemptResult = { type: 'again' };

const createTallyKey = ({ exchange, endpoint, model }: AttemptContext) => ({
  service: endpoint.service,
  version: endpoint.version,
  task: `${exchange.request.route.name}/${model ?? ''}`,
});

const recordFailure = (context: AttemptContext, reason: string, mayHaveRun: boolean): void => {
  const { parts, exchange, endpoint, model, startedAt } = context;
  const now = parts.readNow();
  exchange.tried.add(endpoint.id);
  exchange.reason = reason;
  if (mayHaveRun) exchange.mayHaveRun = true;
  parts.metrics.attempts.inc({ service: endpoint.service, result: 'failed' });
  parts.loads.recordOutcome(endpoint.id, 'failed', now);
  if (mayHaveRun) parts.tallies.record(createTallyKey(context), { type: 'failed' });
  parts.log.info(
    {
      request: exchange.request.caller.requestId,
      endpoint: endpoint.id,
      model,
      mayHaveRun,
      reason,
      attemptMs: Math.round(now - startedAt),
      lastEventId: exchange.lastEventId,
    },
    'attempt failed',
  );
};

const recordSuccess = (context: AttemptContext, timeMs: number): void => {
  const { parts, endpoint } = context;
  parts.metrics.attempts.inc({ service: endpoint.service, result: 'ok' });
  parts.loads.recordOutcome(endpoint.id, 'ok', parts.readNow());
  parts.tallies.record(createTallyKey(context), { type: 'answered', cost: 0, timeMs });
};

const recordFirstByte = ({ parts, exchange }: AttemptContext): void => {
  const { route, receivedAt } = exchange.request;
  const now = parts.readNow();
  exchange.firstByteAt ??= now;
  const seconds = (now - receivedAt) / 1_000;
  parts.metrics.firstByte.observe({ route: route.name }, seconds);
};

const recordFirstEvent = (context: AttemptContext): void => {
  const { parts, endpoint, facts, model, exchange, share, queueMs, unreadTokens } = context;
  share.endReading();
  const { caller } = exchange.request;
  const name = model ?? caller.model;
  // With a longer queue, the delay depends more on the queued prompts than on this one.
  if (name === undefined || queueMs > LONGEST_SAMPLE_QUEUE_MS) return;
  const { promptTokens } = caller;
  const read = { service: endpoint.service, model: name, unreadTokens, promptTokens };
  parts.chooser.recordFirstToken(facts, read, parts.readNow() - context.startedAt);
};

const isRepeatable = ({ exchange }: AttemptContext): boolean => {
  const { route } = exchange.request;
  return isRepeatableRoute(route) && exchange.attempts < route.attemptLimit;
};

// There is no timeout when a retry is not allowed, because giving up early gains nothing.
const computeSilenceMs = (context: AttemptContext): number =>
  isRepeatable(context)
    ? SILENCE_FACTOR * context.exchange.request.route.targetLatencyMs
    : Infinity;

const computeStallMs = (context: AttemptContext): number =>
  isRepeatable(context)
    ? STALL_FACTOR * (context.exchange.request.route.gapTargetMs ?? DEFAULT_GAP_MS)
    : Infinity;

// Longest delay that Node timers support, in milliseconds. Longer and infinite timeouts are cut to this.
const LONGEST_TIMER_MS = 2 ** 31 - 1;

const waitFor = <T>(promise: Promise<T>, timeoutMs: number) =>
  waitAtMost(promise, Math.min(LONGEST_TIMER_MS, timeoutMs));

const readWhole = async (context: AttemptContext): Promise<Buffer | undefined> => {
  const pieces: Buffer[] = [];
  try {
    for await (const piece of context.attempt.readBody()) pieces.push(piece);
    return Buffer.concat(pieces);
  } catch (cause) {
    recordFailure(context, `response body was truncated: ${(cause as Error).message}`, true);
    return undefined;
  }
};

const createReplyHead = ({ status, forwarded, isUnframed }: AnswerHead): ReplyHead => ({
  status,
  headers: forwarded,
  isUnframed: isUnframed && !BODILESS_STATUSES.has(status),
});

const relayWhole = async (context: AttemptContext, head: AnswerHead): Promise<AttemptResult> => {
  const { exchange, parts, startedAt } = context;
  const body = await readWhole(context);
  if (body === undefined || exchange.isOver) return AGAIN;
  const replyHead = createReplyHead(head);
  if (replyHead.isUnframed && !exchange.doubtful && isRepeatable(context)) {
    exchange.doubtful = { head: replyHead, body };
    recordFailure(context, 'close-delimited response may be truncated', true);
    return AGAIN;
  }
  if (head.status >= 500) {
    recordFailure(context, `endpoint responded with status ${head.status}`, true);
    const hasBudget = context.budget.canAcquire(parts.readNow(), context.facts.gatewayCount);
    if (isRepeatable(context) && hasBudget) return AGAIN;
  } else {
    recordSuccess(context, parts.readNow() - startedAt);
  }
  recordFirstByte(context);
  exchange.reply.send(replyHead, body);
  return { type: 'done', status: head.status };
};

const relayEvents = async (context: AttemptContext, head: AnswerHead): Promise<AttemptResult> => {
  const { exchange, parts, attempt, startedAt } = context;
  const { reply } = exchange;
  const reader = createEventReader();
  const pieces = attempt.readBody()[Symbol.asyncIterator]();
  const silenceAt = startedAt + computeSilenceMs(context);
  let firstAt: number | undefined;
  try {
    for (;;) {
      const limitMs = firstAt === undefined ? silenceAt - parts.readNow() : computeStallMs(context);
      const next = await waitFor(pieces.next(), limitMs);
      if (exchange.isOver) return AGAIN;
      if (next.type === 'late') {
        recordFailure(context, `no event within ${Math.round(limitMs)} ms`, true);
        return AGAIN;
      }
      if (next.value.done === true) break;
      const events = reader.add(next.value.value);
      if (events.length === 0) continue;
      if (!reply.isStarted()) {
        recordFirstByte(context);
        reply.start(createReplyHead(head));
      }
      if (firstAt === undefined) {
        firstAt = parts.readNow();
        recordFirstEvent(context);
      }
      exchange.lastEventId =
        events.findLast(({ id }) => id !== undefined)?.id ?? exchange.lastEventId;
      exchange.events += events.length;
      await reply.write(Buffer.concat(events.map(({ bytes }) => bytes)));
    }
  } catch (cause) {
    if (!exchange.isOver) {
      recordFailure(context, `stream was interrupted: ${(cause as Error).message}`, true);
    }
    return AGAIN;
  }
  if (reader.countPending() > 0) {
    recordFailure(context, 'stream ended in the middle of an event', true);
    return AGAIN;
  }
  recordSuccess(context, (firstAt ?? parts.readNow()) - startedAt);
  if (!reply.isStarted()) reply.start(createReplyHead(head));
  reply.end();
  return { type: 'done', status: head.status };
};

/**
 * Drops a response whose head has arrived if a larger model is to answer instead. Returns whether
 * the response was dropped.
 */
const settleDropped = (context: AttemptContext, head: AnswerHead): boolean => {
  const { exchange, parts, facts, model, budget, endpoint } = context;
  const { route, caller } = exchange.request;
  if (model === undefined || exchange.reply.isStarted()) return false;
  const now = parts.readNow();
  const { confidence } = head;
  const secondModel = chooseSecondModel({
    ...createModelQuestion(parts, exchange, facts),
    model,
    confidence,
    attemptsLeft: route.attemptLimit - exchange.attempts,
    hasBudget: budget.canAcquire(now, facts.gatewayCount),
  });
  if (secondModel === undefined) return false;
  exchange.dropped = model;
  exchange.secondModel = secondModel;
  const { requestId: request } = caller;
  parts.log.info(
    { request, model, confidence, secondModel, endpoint: endpoint.id },
    'response dropped in favour of a larger model',
  );
  parts.metrics.attempts.inc({ service: endpoint.service, result: 'dropped' });
  return true;
};

const recordNotRun = (context: AttemptContext, head: AnswerHead): void => {
  const { parts, exchange, endpoint, model } = context;
  exchange.tried.add(endpoint.id);
  exchange.reason = `endpoint declined the request with status ${head.status}`;
  parts.metrics.attempts.inc({ service: endpoint.service, result: 'declined' });
  parts.loads.recordOutcome(endpoint.id, 'overloaded', parts.readNow());
  parts.log.info(
    {
      request: exchange.request.caller.requestId,
      endpoint: endpoint.id,
      model,
      status: head.status,
      retryAfterMs: head.retryAfterMs,
    },
    'endpoint declined the request',
  );
};

const handleHead = async (context: AttemptContext, head: AnswerHead): Promise<AttemptResult> => {
  const { exchange, parts, endpoint } = context;
  const { requestId } = exchange.request.caller;
  exchange.attempts += 1;
  if (head.isNotRun) {
    recordNotRun(context, head);
    return AGAIN;
  }
  exchange.mayHaveRun = true;
  exchange.confidence = head.confidence;
  if (head.requestId !== undefined && head.requestId !== requestId) {
    recordFailure(context, `response belongs to another request '${head.requestId}'`, true);
    return AGAIN;
  }
  if (head.isEncoded) {
    recordFailure(context, 'response has a content encoding that was not requested', true);
    return AGAIN;
  }
  if (settleDropped(context, head)) return AGAIN;
  if (exchange.reply.isStarted() && !(head.status === 200 && head.isEventStream)) {
    recordFailure(
      context,
      `endpoint did not resume the stream; it responded with status ${head.status}`,
      true,
    );
    return AGAIN;
  }
  parts.log.debug(
    { request: requestId, endpoint: endpoint.id, status: head.status },
    'response started',
  );
  const isStream = head.isEventStream && head.status === 200;
  return isStream ? relayEvents(context, head) : relayWhole(context, head);
};

/** Relays the response of one attempt to the caller, or records why the attempt failed. */
export const relayAnswer = async (context: AttemptContext): Promise<AttemptResult> => {
  const { attempt, exchange } = context;
  const limited = await waitFor(attempt.head, computeSilenceMs(context));
  if (exchange.isOver) return AGAIN;
  if (limited.type === 'late') {
    exchange.attempts += 1;
    recordFailure(context, 'endpoint did not start to respond in time', true);
    return AGAIN;
  }
  const head = limited.value;
  if (head.isRight()) return handleHead(context, head.unsafeCoerce());
  const { mayHaveRun, reason } = head.swap().unsafeCoerce();
  if (mayHaveRun) exchange.attempts += 1;
  recordFailure(context, reason, mayHaveRun);
  return AGAIN;
};
