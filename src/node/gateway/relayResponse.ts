import { chooseSecondModel, type WindowBudget } from '../decisions';
import type { EndpointReport } from '../registry';
import { isRetryableRoute } from '../routing';
import { BODILESS_STATUSES, type ReplyHead } from './callerReply';
import { createModelInput } from './choiceRequest';
import { waitWithTimeout } from './deadline';
import type { LoadEntry } from './endpointLoads';
import { createEventReader } from './eventReader';
import type { Exchange, ExchangeDependencies } from './exchangeTypes';
import type { RoutingSnapshot } from './routingView';
import type { ResponseHead, EndpointAttempt } from './types';

/** One attempt of a request at an endpoint. */
export interface AttemptContext {
  readonly deps: ExchangeDependencies;
  readonly exchange: Exchange;
  readonly snapshot: RoutingSnapshot;
  readonly endpoint: EndpointReport;
  readonly model: string | undefined;
  readonly attempt: EndpointAttempt;
  /** Steady time in milliseconds. */
  readonly startedAt: number;
  readonly budget: WindowBudget;
  readonly loadEntry: LoadEntry;
  /** Reading of other prompts that was ahead, in milliseconds. */
  readonly queueMs: number;
  /** Tokens of the prompt that the endpoint had likely not read before. */
  readonly uncachedTokens: number;
}

/** What became of an attempt: the caller has its answer, or another attempt may follow. */
export type AttemptResult =
  { readonly type: 'done'; readonly status: number } | { readonly type: 'again' };

/** An endpoint that says nothing for this many times the target latency is given up for another. */
const RESPONSE_TIMEOUT_FACTOR = 2;
/** A stream that pauses for this many times the longest good pause is resumed elsewhere. */
const STALL_FACTOR = 1.5;
/** Longest good pause in milliseconds where a route states none. */
const DEFAULT_GAP_MS = 1_500;

/** A queue that adds little to the delay of a first token, in milliseconds: some steps of an engine. */
const MAX_SAMPLE_QUEUE_MS = 50;

const RETRY: AttemptResult = { type: 'again' };

const createTallyKey = ({ exchange, endpoint, model }: AttemptContext) => ({
  service: endpoint.service,
  version: endpoint.version,
  task: `${exchange.request.route.name}/${model ?? ''}`,
});

const recordFailure = (context: AttemptContext, reason: string, mayHaveRun: boolean): void => {
  const { deps: parts, exchange, endpoint, model, startedAt } = context;
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
  const { deps: parts, endpoint } = context;
  parts.metrics.attempts.inc({ service: endpoint.service, result: 'ok' });
  parts.loads.recordOutcome(endpoint.id, 'ok', parts.readNow());
  parts.tallies.record(createTallyKey(context), { type: 'answered', cost: 0, timeMs });
};

const recordFirstByte = ({ deps: parts, exchange }: AttemptContext): void => {
  const { route, receivedAt } = exchange.request;
  const now = parts.readNow();
  exchange.firstByteAt ??= now;
  const seconds = (now - receivedAt) / 1_000;
  parts.metrics.firstByte.observe({ route: route.name }, seconds);
};

const recordFirstEvent = (context: AttemptContext): void => {
  const {
    deps: parts,
    endpoint,
    snapshot: facts,
    model,
    exchange,
    loadEntry: share,
    queueMs,
    uncachedTokens: unreadTokens,
  } = context;
  share.endPrefill();
  const { caller } = exchange.request;
  const name = model ?? caller.model;
  // After a queue the delay says more of the others' prompts than of this one.
  if (name === undefined || queueMs > MAX_SAMPLE_QUEUE_MS) return;
  const { promptTokens } = caller;
  const read = { service: endpoint.service, model: name, unreadTokens, promptTokens };
  parts.chooser.recordFirstToken(facts, read, parts.readNow() - context.startedAt);
};

const canRetry = ({ exchange }: AttemptContext): boolean => {
  const { route } = exchange.request;
  return isRetryableRoute(route) && exchange.attempts < route.attemptLimit;
};

// Work that may not be repeated gains nothing from giving up early.
const computeResponseTimeoutMs = (context: AttemptContext): number =>
  canRetry(context)
    ? RESPONSE_TIMEOUT_FACTOR * context.exchange.request.route.targetLatencyMs
    : Infinity;

const computeStallTimeoutMs = (context: AttemptContext): number =>
  canRetry(context)
    ? STALL_FACTOR * (context.exchange.request.route.gapTargetMs ?? DEFAULT_GAP_MS)
    : Infinity;

// Timers take whole milliseconds below this; what is above has no limit of its own.
const MAX_TIMER_MS = 2 ** 31 - 1;

const waitFor = <T>(promise: Promise<T>, timeoutMs: number) =>
  waitWithTimeout(promise, Math.min(MAX_TIMER_MS, timeoutMs));

const readFullBody = async (context: AttemptContext): Promise<Buffer | undefined> => {
  const pieces: Buffer[] = [];
  try {
    for await (const piece of context.attempt.readBody()) pieces.push(piece);
    return Buffer.concat(pieces);
  } catch (cause) {
    recordFailure(context, `answer broke off: ${(cause as Error).message}`, true);
    return undefined;
  }
};

const createReplyHead = ({
  status,
  forwarded,
  isCloseDelimited: isUnframed,
}: ResponseHead): ReplyHead => ({
  status,
  headers: forwarded,
  isCloseDelimited: isUnframed && !BODILESS_STATUSES.has(status),
});

const relayBuffered = async (
  context: AttemptContext,
  head: ResponseHead,
): Promise<AttemptResult> => {
  const { exchange, deps: parts, startedAt } = context;
  const body = await readFullBody(context);
  if (body === undefined || exchange.isFinished) return RETRY;
  const replyHead = createReplyHead(head);
  if (replyHead.isCloseDelimited && !exchange.unverified && canRetry(context)) {
    exchange.unverified = { head: replyHead, body };
    recordFailure(context, 'answer without a length may have been cut', true);
    return RETRY;
  }
  if (head.status >= 500) {
    recordFailure(context, `endpoint answered ${head.status}`, true);
    const hasBudget = context.budget.canAcquire(parts.readNow(), context.snapshot.gatewayCount);
    if (canRetry(context) && hasBudget) return RETRY;
  } else {
    recordSuccess(context, parts.readNow() - startedAt);
  }
  recordFirstByte(context);
  exchange.reply.send(replyHead, body);
  return { type: 'done', status: head.status };
};

const relayEventStream = async (
  context: AttemptContext,
  head: ResponseHead,
): Promise<AttemptResult> => {
  const { exchange, deps: parts, attempt, startedAt } = context;
  const { reply } = exchange;
  const reader = createEventReader();
  const pieces = attempt.readBody()[Symbol.asyncIterator]();
  const firstEventDeadline = startedAt + computeResponseTimeoutMs(context);
  let firstAt: number | undefined;
  try {
    for (;;) {
      const limitMs =
        firstAt === undefined
          ? firstEventDeadline - parts.readNow()
          : computeStallTimeoutMs(context);
      const next = await waitFor(pieces.next(), limitMs);
      if (exchange.isFinished) return RETRY;
      if (next.type === 'late') {
        recordFailure(context, `no event for ${Math.round(limitMs)} ms`, true);
        return RETRY;
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
    if (!exchange.isFinished) {
      recordFailure(context, `stream broke off: ${(cause as Error).message}`, true);
    }
    return RETRY;
  }
  if (reader.countPending() > 0) {
    recordFailure(context, 'stream ended inside an event', true);
    return RETRY;
  }
  recordSuccess(context, (firstAt ?? parts.readNow()) - startedAt);
  if (!reply.isStarted()) reply.start(createReplyHead(head));
  reply.end();
  return { type: 'done', status: head.status };
};

/** Drops an answer that has just begun when a larger model shall answer instead. */
const applyModelCascade = (context: AttemptContext, head: ResponseHead): boolean => {
  const { exchange, deps: parts, snapshot: facts, model, budget, endpoint } = context;
  const { route, caller } = exchange.request;
  if (model === undefined || exchange.reply.isStarted()) return false;
  const now = parts.readNow();
  const { confidence } = head;
  const secondModel = chooseSecondModel({
    ...createModelInput(parts, exchange, facts),
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
    'answer dropped',
  );
  parts.metrics.attempts.inc({ service: endpoint.service, result: 'dropped' });
  return true;
};

const recordDeclined = (context: AttemptContext, head: ResponseHead): void => {
  const { deps: parts, exchange, endpoint, model } = context;
  exchange.tried.add(endpoint.id);
  exchange.reason = `endpoint declined with ${head.status}`;
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
    'attempt declined',
  );
};

const handleHead = async (context: AttemptContext, head: ResponseHead): Promise<AttemptResult> => {
  const { exchange, deps: parts, endpoint } = context;
  const { requestId } = exchange.request.caller;
  exchange.attempts += 1;
  if (head.isNotRun) {
    recordDeclined(context, head);
    return RETRY;
  }
  exchange.mayHaveRun = true;
  exchange.confidence = head.confidence;
  if (head.requestId !== undefined && head.requestId !== requestId) {
    recordFailure(context, `answer to another request '${head.requestId}'`, true);
    return RETRY;
  }
  if (head.isEncoded) {
    recordFailure(context, 'answer has an encoding that was not asked for', true);
    return RETRY;
  }
  if (applyModelCascade(context, head)) return RETRY;
  if (exchange.reply.isStarted() && !(head.status === 200 && head.isEventStream)) {
    recordFailure(context, `resumed stream answered ${head.status}`, true);
    return RETRY;
  }
  parts.log.debug(
    { request: requestId, endpoint: endpoint.id, status: head.status },
    'answer began',
  );
  const isStream = head.isEventStream && head.status === 200;
  return isStream ? relayEventStream(context, head) : relayBuffered(context, head);
};

/** Takes one attempt's answer to the caller, or finds out why there is none. */
export const relayResponse = async (context: AttemptContext): Promise<AttemptResult> => {
  const { attempt, exchange } = context;
  const limited = await waitFor(attempt.head, computeResponseTimeoutMs(context));
  if (exchange.isFinished) return RETRY;
  if (limited.type === 'late') {
    exchange.attempts += 1;
    recordFailure(context, 'no answer began in time', true);
    return RETRY;
  }
  const head = limited.value;
  if (head.isRight()) return handleHead(context, head.unsafeCoerce());
  const { mayHaveRun, reason } = head.swap().unsafeCoerce();
  if (mayHaveRun) exchange.attempts += 1;
  recordFailure(context, reason, mayHaveRun);
  return RETRY;
};
