import { isRetryableRoute } from '../routing';
import {
  recordConnectionLoss,
  recordEndpointLoss,
  recordFailure,
  recordFirstByte,
  recordFirstEvent,
  recordSuccess,
  recordSurvival,
  type AttemptContext,
} from './attemptRecords';
import {
  computeResponseTimeoutMs,
  computeStallTimeoutMs,
  createReplyHead,
  RETRY,
  waitFor,
  type AttemptResult,
} from './attemptResult';
import { checkCloseDelimitedEnd, isConfirmingEnd } from './closeDelimitedEnd';
import { isConnectionLoss } from './endpointAttempt';
import {
  createEventReader,
  isRepeatedEvent,
  type EventReader,
  type StreamEvent,
} from './eventReader';
import type { Exchange } from './exchangeTypes';
import type { RawHeaders, ResponseHead } from './types';

const recordEventIds = (exchange: Exchange, events: readonly StreamEvent[]): void => {
  const ids = [exchange.previousEventId, exchange.lastEventId, ...events.map(({ id }) => id)];
  const [last, previous] = ids.filter((id) => id !== undefined).reverse();
  exchange.lastEventId = last;
  exchange.previousEventId = previous;
};

const removeLength = (headers: RawHeaders): RawHeaders => {
  const isKept = (at: number): boolean => headers[at]?.toLowerCase() !== 'content-length';
  return headers.filter((_item, at) => isKept(at - (at % 2)));
};

const recordBegunEvent = (exchange: Exchange, reader: EventReader, isRepeating: boolean): void => {
  if (reader.hasBegunEvent() && !isRepeating) {
    exchange.begunEvent = { afterId: exchange.lastEventId };
  }
};

const isEventMissing = ({ begunEvent, lastEventId }: Exchange): boolean =>
  begunEvent !== undefined && begunEvent.afterId === lastEventId;

/** Relays the events of one attempt to the caller as they arrive. */
export const relayEventStream = async (
  context: AttemptContext,
  head: ResponseHead,
): Promise<AttemptResult> => {
  const { exchange, deps, attempt, startedAt } = context;
  const { reply } = exchange;
  const reader = createEventReader(exchange.request.account);
  const chunks = attempt.readBody()[Symbol.asyncIterator]();
  // A stream may be resumed at another endpoint, so its total length is not known.
  const headers = removeLength(head.forwarded);
  const replyHead = { ...createReplyHead(head), headers };
  const isConfirming = isConfirmingEnd(exchange);
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
        recordBegunEvent(exchange, reader, isConfirming && firstAt === undefined);
        recordFailure(
          context,
          `no event within ${Math.round(nextEventDeadline - waitStartedAt)} ms`,
          true,
        );
        return RETRY;
      }
      if (next.value.done === true) break;
      const received = reader.add(next.value.value);
      if (received.length === 0) continue;
      // The event that the attempt was sent to repeat; the caller has it already.
      const isRepetition =
        isConfirming && firstAt === undefined && received[0]!.id === exchange.lastEventId;
      const events = isRepetition ? received.slice(1) : received;
      // An endpoint that ignores the last event id runs the request anew, as another stream.
      if (
        firstAt === undefined &&
        !isRepetition &&
        isRepeatedEvent(events[0]!.id, exchange.lastEventId)
      ) {
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
      recordEventIds(exchange, events);
      exchange.events += events.length;
      if (events.length > 0) await reply.write(Buffer.concat(events.map(({ bytes }) => bytes)));
      // Time that a slow caller takes is not the endpoint's.
      waitStartedAt = deps.readNow();
      nextEventDeadline = waitStartedAt + computeStallTimeoutMs(context);
    }
  } catch (cause) {
    recordBegunEvent(exchange, reader, isConfirming && firstAt === undefined);
    if (!exchange.isFinished) {
      recordFailure(context, `stream was interrupted: ${(cause as Error).message}`, true);
      if (isConnectionLoss(cause)) recordEndpointLoss(context);
      if (!hasSurvived && isConnectionLoss(cause)) recordConnectionLoss(context, true);
    }
    return RETRY;
  }
  if (reader.countPending() > 0) {
    recordBegunEvent(exchange, reader, isConfirming && firstAt === undefined);
    recordFailure(context, 'stream ended in the middle of an event', true);
    recordEndpointLoss(context);
    if (!hasSurvived) recordConnectionLoss(context, true);
    return RETRY;
  }
  if (isConfirming && firstAt === undefined) {
    const reason = `stream ended without event ${exchange.lastEventId}, which an earlier attempt had sent`;
    recordFailure(context, reason, true);
    return RETRY;
  }
  if (isEventMissing(exchange)) {
    const reason = `stream ended after event ${exchange.lastEventId}, but an earlier attempt had begun another one`;
    recordFailure(context, reason, true);
    return RETRY;
  }
  if (head.isCloseDelimited) {
    const hasContent = firstAt !== undefined;
    const canConfirm = isRetryableRoute(exchange.request.route);
    const end = { hasContent, hasSurvived, canConfirm, canRetry: false };
    if ((await checkCloseDelimitedEnd(context, end)) !== 'complete') return RETRY;
  }
  recordSuccess(context, (firstAt ?? deps.readNow()) - startedAt);
  if (!hasSurvived) recordSurvival(context);
  if (!reply.isStarted()) reply.start(replyHead);
  reply.end();
  return { type: 'done', status: head.status };
};
