import { chooseSecondModel } from '../decisions';
import { formatIncarnation } from '../registry';
import { isRetryableRoute } from '../routing';
import {
  recordConnectionLoss,
  recordFailure,
  recordFirstByte,
  recordFirstEvent,
  recordSuccess,
  recordSurvival,
  type AttemptContext,
} from './attemptRecords';
import { BODILESS_STATUSES, findDeclaredLength, type ReplyHead } from './callerReply';
import { createModelInput } from './choiceRequest';
import { checkCloseDelimitedEnd } from './closeDelimitedEnd';
import { waitWithTimeout } from './deadline';
import { isConnectionLoss } from './endpointAttempt';
import { startDropWatch } from './dropWatch';
import { createEventReader, isRepeatedEvent } from './eventReader';
import type { ResponseHead } from './types';

/**
 * The result of an attempt: `done` if the caller has its response, `again` if another attempt may
 * follow.
 */
export type AttemptResult =
  { readonly type: 'done'; readonly status: number } | { readonly type: 'again' };

/**
 * Another endpoint is tried when there is no response within this many times the target latency.
 */
const RESPONSE_TIMEOUT_FACTOR = 2;
/**
 * A stream without an event for this many times the route's target gap is resumed at another
 * endpoint.
 */
const STALL_FACTOR = 1.5;
/** Target gap between events, in milliseconds, for routes that set none. */
const DEFAULT_GAP_MS = 1_500;

/** Limit of a response body that is buffered until it is complete, in bytes. */
const MAX_BUFFERED_BYTES = 4 * 1024 * 1024;

/** Status of an endpoint that turns a request away. */
const UNAVAILABLE = 503;

const RETRY: AttemptResult = { type: 'again' };

const hasRetryLeft = ({ exchange }: AttemptContext): boolean => {
  const { route } = exchange.request;
  return isRetryableRoute(route) && exchange.attempts < route.attemptLimit;
};

const canRepeat = (context: AttemptContext): boolean =>
  hasRetryLeft(context) &&
  context.budget.canAcquire(context.deps.readNow(), context.snapshot.gatewayCount);

// There is no timeout when a retry is not allowed, because giving up early gains nothing.
const computeResponseTimeoutMs = (context: AttemptContext): number =>
  hasRetryLeft(context)
    ? RESPONSE_TIMEOUT_FACTOR * context.exchange.request.route.targetLatencyMs
    : Infinity;

const computeStallTimeoutMs = (context: AttemptContext): number =>
  hasRetryLeft(context)
    ? STALL_FACTOR * (context.exchange.request.route.gapTargetMs ?? DEFAULT_GAP_MS)
    : Infinity;

// Longest delay that Node timers support, in milliseconds. Longer and infinite timeouts are cut to
// this.
const MAX_TIMER_MS = 2 ** 31 - 1;

const waitFor = <T>(promise: Promise<T>, timeoutMs: number) =>
  waitWithTimeout(promise, Math.min(MAX_TIMER_MS, timeoutMs));

const readFullBody = async (context: AttemptContext): Promise<Buffer | undefined> => {
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of context.attempt.readBody()) {
      size += chunk.length;
      if (size > MAX_BUFFERED_BYTES) {
        const reason = `response body has more than ${MAX_BUFFERED_BYTES} bytes and no length`;
        recordFailure(context, reason, true);
        return undefined;
      }
      chunks.push(chunk);
    }
    return Buffer.concat(chunks);
  } catch (cause) {
    recordFailure(context, `response body was truncated: ${(cause as Error).message}`, true);
    if (isConnectionLoss(cause)) recordConnectionLoss(context, true);
    return undefined;
  }
};

const createReplyHead = ({ status, forwarded, isCloseDelimited }: ResponseHead): ReplyHead => ({
  status,
  headers: forwarded,
  isCloseDelimited: isCloseDelimited && !BODILESS_STATUSES.has(status),
});

// Relays a body with a declared length as it arrives: the caller can tell if it is truncated.
const relayLargeBody = async (
  context: AttemptContext,
  head: ResponseHead,
): Promise<AttemptResult> => {
  const { exchange, deps, attempt, startedAt } = context;
  const { reply } = exchange;
  recordFirstByte(context);
  reply.start(createReplyHead(head));
  try {
    for await (const chunk of attempt.readBody()) {
      if (exchange.isFinished) return RETRY;
      await reply.write(chunk);
    }
  } catch (cause) {
    if (!exchange.isFinished) {
      recordFailure(context, `response body was truncated: ${(cause as Error).message}`, true);
    }
    return RETRY;
  }
  recordSuccess(context, deps.readNow() - startedAt);
  reply.end();
  return { type: 'done', status: head.status };
};

const relayBuffered = async (
  context: AttemptContext,
  head: ResponseHead,
): Promise<AttemptResult> => {
  const { exchange, deps, startedAt } = context;
  const body = await readFullBody(context);
  if (body === undefined || exchange.isFinished) return RETRY;
  const replyHead = createReplyHead(head);
  const hasEnd = !replyHead.isCloseDelimited || exchange.request.method === 'HEAD';
  if (!hasEnd) {
    const canRetry = canRepeat(context);
    const end = { hasContent: true, hasSurvived: false, isPassedOn: true, canRetry };
    const verdict = await checkCloseDelimitedEnd(context, end);
    if (verdict === 'doubtful') exchange.doubtfulAnswer = { head: replyHead, body };
    if (verdict !== 'complete') return RETRY;
  }
  if (head.status >= 500) {
    recordFailure(context, `endpoint responded with status ${head.status}`, true);
    if (canRepeat(context)) return RETRY;
  } else {
    recordSuccess(context, deps.readNow() - startedAt);
    recordSurvival(context);
  }
  recordFirstByte(context);
  exchange.reply.send(replyHead, body);
  return { type: 'done', status: head.status };
};

const relayEventStream = async (
  context: AttemptContext,
  head: ResponseHead,
): Promise<AttemptResult> => {
  const { exchange, deps, attempt, startedAt } = context;
  const { reply } = exchange;
  const reader = createEventReader();
  const chunks = attempt.readBody()[Symbol.asyncIterator]();
  // A stream that can be resumed is sent in chunks, because its end can be confirmed.
  const isPassedOn = head.isCloseDelimited && !isRetryableRoute(exchange.request.route);
  const replyHead = { ...createReplyHead(head), isCloseDelimited: isPassedOn };
  let firstAt: number | undefined;
  let hasSurvived = false;
  let waitStartedAt = startedAt;
  let nextEventDeadline = startedAt + computeResponseTimeoutMs(context);
  try {
    for (;;) {
      const limitMs = nextEventDeadline - deps.readNow();
      const next = await waitFor(chunks.next(), limitMs);
      if (exchange.isFinished) return RETRY;
      if (next.type === 'late') {
        recordFailure(
          context,
          `no event within ${Math.round(nextEventDeadline - waitStartedAt)} ms`,
          true,
        );
        return RETRY;
      }
      if (next.value.done === true) break;
      const events = reader.add(next.value.value);
      if (events.length === 0) continue;
      // An endpoint that ignores the last event id runs the request anew, as another stream.
      if (firstAt === undefined && isRepeatedEvent(events[0]!.id, exchange.lastEventId)) {
        recordFailure(
          context,
          `endpoint did not resume the stream after event ${exchange.lastEventId}; it sent event ${events[0]!.id}`,
          true,
        );
        return RETRY;
      }
      if (!reply.isStarted()) {
        recordFirstByte(context);
        reply.start(replyHead);
      }
      if (firstAt === undefined) {
        firstAt = deps.readNow();
        recordFirstEvent(context);
      } else if (!hasSurvived) {
        hasSurvived = true;
        recordSurvival(context);
      }
      exchange.lastEventId =
        events.findLast(({ id }) => id !== undefined)?.id ?? exchange.lastEventId;
      exchange.events += events.length;
      await reply.write(Buffer.concat(events.map(({ bytes }) => bytes)));
      // Time that a slow caller takes is not the endpoint's.
      waitStartedAt = deps.readNow();
      nextEventDeadline = waitStartedAt + computeStallTimeoutMs(context);
    }
  } catch (cause) {
    if (!exchange.isFinished) {
      recordFailure(context, `stream was interrupted: ${(cause as Error).message}`, true);
      if (!hasSurvived && isConnectionLoss(cause)) recordConnectionLoss(context, true);
    }
    return RETRY;
  }
  if (reader.countPending() > 0) {
    recordFailure(context, 'stream ended in the middle of an event', true);
    if (!hasSurvived) recordConnectionLoss(context, true);
    return RETRY;
  }
  if (head.isCloseDelimited) {
    const hasContent = firstAt !== undefined;
    const end = { hasContent, hasSurvived, isPassedOn, canRetry: false };
    if ((await checkCloseDelimitedEnd(context, end)) !== 'complete') return RETRY;
  }
  recordSuccess(context, (firstAt ?? deps.readNow()) - startedAt);
  if (!hasSurvived) recordSurvival(context);
  if (!reply.isStarted()) reply.start(replyHead);
  reply.end();
  return { type: 'done', status: head.status };
};

/**
 * Drops a response whose head has arrived if a larger model is to answer instead. Returns whether
 * the response was dropped.
 */
const applyModelCascade = (context: AttemptContext, head: ResponseHead): boolean => {
  const { exchange, deps, snapshot, model, budget, endpoint } = context;
  const { route, caller } = exchange.request;
  // A probe may take the endpoint down, so it gets a single attempt.
  if (model === undefined || exchange.reply.isStarted() || exchange.isProbe) return false;
  const now = deps.readNow();
  const { confidence } = head;
  const secondModel = chooseSecondModel({
    ...createModelInput(deps, exchange, snapshot),
    model,
    confidence,
    attemptsLeft: route.attemptLimit - exchange.attempts,
    hasBudget: budget.canAcquire(now, snapshot.gatewayCount),
  });
  if (secondModel === undefined) return false;
  exchange.dropped = model;
  exchange.secondModel = secondModel;
  const { requestId: request } = caller;
  const { fingerprint } = exchange.request;
  const incarnation = formatIncarnation(endpoint);
  deps.log.info(
    { request, fingerprint, model, confidence, secondModel, endpoint: endpoint.id, incarnation },
    'response dropped in favour of a larger model',
  );
  deps.metrics.attempts.inc({ service: endpoint.service, result: 'dropped' });
  return true;
};

const recordDeclined = (context: AttemptContext, head: ResponseHead): void => {
  const { deps, exchange, endpoint, model } = context;
  exchange.tried.add(endpoint.id);
  exchange.reason = `endpoint declined the request with status ${head.status}`;
  deps.metrics.attempts.inc({ service: endpoint.service, result: 'declined' });
  deps.loads.recordOutcome(endpoint.id, 'overloaded', deps.readNow());
  deps.log.info(
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

const recordBackoff = (
  { deps, exchange, endpoint }: AttemptContext,
  { status, retryAfterMs: backoffMs }: ResponseHead,
): void => {
  if (status !== UNAVAILABLE || backoffMs === undefined) return;
  const { requestId: request } = exchange.request.caller;
  deps.backoffs.record({ endpoint, request, backoffMs }, deps.readNow());
};

const handleHead = async (context: AttemptContext, head: ResponseHead): Promise<AttemptResult> => {
  const { exchange, deps, endpoint } = context;
  const { requestId } = exchange.request.caller;
  const { requestsPerSecond } = head;
  const { startedAt } = context;
  exchange.attempts += 1;
  deps.limits.record(
    { endpoint, request: requestId, requestsPerSecond, startedAt },
    deps.readNow(),
  );
  if (head.isLeaving) deps.recordLeaving(endpoint, requestId);
  const isOther = head.requestId !== undefined && head.requestId !== requestId;
  if (!isOther) recordBackoff(context, head);
  // A refusal of another request says nothing about this one.
  if (head.isNotRun && !isOther) {
    recordDeclined(context, head);
    return RETRY;
  }
  exchange.mayHaveRun = true;
  exchange.confidence = head.confidence;
  if (isOther) {
    recordFailure(context, `response belongs to another request '${head.requestId}'`, true);
    return RETRY;
  }
  if (head.isEncoded) {
    recordFailure(context, 'response has a content encoding that was not requested', true);
    return RETRY;
  }
  if (applyModelCascade(context, head)) {
    exchange.currentAttempt = undefined;
    startDropWatch(context);
    return RETRY;
  }
  if (exchange.reply.isStarted() && !(head.status === 200 && head.isEventStream)) {
    recordFailure(
      context,
      `endpoint did not resume the stream; it responded with status ${head.status}`,
      true,
    );
    return RETRY;
  }
  deps.log.debug(
    { request: requestId, endpoint: endpoint.id, status: head.status },
    'response started',
  );
  const isStream = head.isEventStream && head.status === 200;
  if (isStream) return relayEventStream(context, head);
  const isLarge = (findDeclaredLength(head.forwarded) ?? 0) > MAX_BUFFERED_BYTES;
  return isLarge && head.status < 500 && !exchange.reply.isStarted()
    ? relayLargeBody(context, head)
    : relayBuffered(context, head);
};

/** Relays the response of one attempt to the caller, or records why the attempt failed. */
export const relayResponse = async (context: AttemptContext): Promise<AttemptResult> => {
  const { attempt, exchange } = context;
  const headResult = await waitFor(attempt.head, computeResponseTimeoutMs(context));
  if (exchange.isFinished) return RETRY;
  if (headResult.type === 'late') {
    exchange.attempts += 1;
    recordFailure(context, 'endpoint did not start to respond in time', true);
    return RETRY;
  }
  const head = headResult.value;
  if (head.isRight()) return handleHead(context, head.unsafeCoerce());
  const { mayHaveRun, isConnectionLost, reason } = head.swap().unsafeCoerce();
  if (mayHaveRun) exchange.attempts += 1;
  recordFailure(context, reason, mayHaveRun);
  if (isConnectionLost) recordConnectionLoss(context, false);
  return RETRY;
};
