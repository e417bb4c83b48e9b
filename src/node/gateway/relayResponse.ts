import { chooseResponseForm, chooseSecondModel, isRefusalStatus } from '../decisions';
import { formatIncarnation } from '../registry';
import { isRetryableRoute } from '../routing';
import {
  recordConnectionLoss,
  recordEndpointLoss,
  recordFailure,
  recordFirstByte,
  recordSuccess,
  recordSurvival,
  type AttemptContext,
} from './attemptRecords';
import {
  computeResponseTimeoutMs,
  createReplyHead,
  hasRetryLeft,
  RETRY,
  waitFor,
  type AttemptResult,
} from './attemptResult';
import { createByteBuffer } from './byteBuffer';
import { BODILESS_STATUSES, findDeclaredLength } from './callerReply';
import { createModelInput } from './choiceRequest';
import { checkCloseDelimitedEnd } from './closeDelimitedEnd';
import { isConnectionLoss } from './endpointAttempt';
import { startDropWatch } from './dropWatch';
import { relayEventStream } from './relayEventStream';
import type { ResponseHead } from './types';

/** Limit of a response body that is buffered until it is complete, in bytes. */
const MAX_BUFFERED_BYTES = 4 * 1024 * 1024;

/** Lowest status of a response with which an endpoint reports its own failure. */
const MIN_FAILURE_STATUS = 500;
/** Status of an endpoint that turns a request away. */
const UNAVAILABLE = 503;

const canRepeat = (context: AttemptContext): boolean =>
  hasRetryLeft(context) &&
  context.budget.canAcquire(context.deps.readNow(), context.snapshot.gatewayCount);

const readFullBody = async (context: AttemptContext): Promise<Buffer | undefined> => {
  const buffer = createByteBuffer(context.exchange.request.account);
  const refuse = (reason: string): undefined => {
    buffer.clear();
    recordFailure(context, reason, true);
  };
  try {
    for await (const chunk of context.attempt.readBody()) {
      if (buffer.countBytes() + chunk.length > MAX_BUFFERED_BYTES) {
        return refuse(`response body has more than ${MAX_BUFFERED_BYTES} bytes and no length`);
      }
      if (!buffer.add(chunk)) {
        return refuse(
          `no memory is left for a response body of ${buffer.countBytes()} bytes so far`,
        );
      }
    }
    return buffer.read();
  } catch (cause) {
    buffer.clear();
    recordFailure(context, `response body was truncated: ${(cause as Error).message}`, true);
    if (isConnectionLoss(cause)) {
      recordEndpointLoss(context);
      recordConnectionLoss(context, true);
    }
    return undefined;
  }
};

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
      if (isConnectionLoss(cause)) recordEndpointLoss(context);
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
  const isBodiless = BODILESS_STATUSES.has(head.status) || exchange.request.method === 'HEAD';
  const isFailure = head.status >= MIN_FAILURE_STATUS;
  if (isFailure) {
    recordFailure(context, `endpoint responded with status ${head.status}`, true);
    if (canRepeat(context)) return RETRY;
  }
  if (head.isCloseDelimited && !isBodiless) {
    const canRetry = canRepeat(context);
    const end = { hasContent: true, hasSurvived: false, canConfirm: false, canRetry };
    const verdict = await checkCloseDelimitedEnd(context, end);
    if (verdict === 'doubtful') exchange.doubtfulAnswer = { head: replyHead, body };
    if (verdict !== 'complete') return RETRY;
  }
  if (!isFailure) {
    recordSuccess(context, deps.readNow() - startedAt);
    recordSurvival(context);
  }
  recordFirstByte(context);
  exchange.reply.send(replyHead, body);
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
  // An endpoint runs the request already, so where it may run only once this answer is the only one.
  if (!isRetryableRoute(route)) return false;
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

const chooseForm = ({ exchange, deps, endpoint }: AttemptContext, head: ResponseHead) => {
  const { request } = exchange;
  const { status, contentKind } = head;
  const routeKind = request.route.kind;
  const form = chooseResponseForm({ method: request.method, routeKind, status, contentKind });
  if (form !== 'body' && contentKind !== 'events') {
    deps.log.info(
      { request: request.caller.requestId, endpoint: endpoint.id, status, contentKind, form },
      'content type of a response does not match its route',
    );
  }
  return form;
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
  // The caller would take the status for the promise of a refusal, and send the request again.
  if (isRefusalStatus(head.status)) {
    const reason = `endpoint responded with status ${head.status}, but does not state that it has not run the request`;
    recordFailure(context, reason, true);
    return RETRY;
  }
  const form = chooseForm(context, head);
  if (form === 'mismatch') {
    recordFailure(context, 'response to a streaming route is not an event stream', true);
    return RETRY;
  }
  if (applyModelCascade(context, head)) {
    exchange.currentAttempt = undefined;
    startDropWatch(context);
    return RETRY;
  }
  if (exchange.reply.isStarted() && form !== 'events') {
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
  if (form === 'events') return relayEventStream(context, head);
  const isLarge = (findDeclaredLength(head.forwarded) ?? 0) > MAX_BUFFERED_BYTES;
  return isLarge && head.status < MIN_FAILURE_STATUS && !exchange.reply.isStarted()
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
  const { mayHaveRun, isConnectionLost, isWithheld, reason } = head.swap().unsafeCoerce();
  if (mayHaveRun) exchange.attempts += 1;
  recordFailure(context, reason, mayHaveRun, !isWithheld);
  if ((!mayHaveRun && !isWithheld) || isConnectionLost) recordEndpointLoss(context);
  if (isConnectionLost) recordConnectionLoss(context, false);
  return RETRY;
};
