import type { ByteAccount } from './byteBudget';
import { createByteBuffer } from './byteBuffer';

/** One complete server-sent event with its original bytes. */
export interface StreamEvent {
  readonly bytes: Buffer;
  /** The event's id; undefined when it has none. */
  readonly id: string | undefined;
}

/** Splits a byte stream into complete events without changing the bytes. */
export interface EventReader {
  /**
   * Adds a chunk and returns the events that it completes. Throws if the incomplete last event
   * exceeds the size limit.
   */
  readonly add: (chunk: Buffer) => readonly StreamEvent[];
  /** Returns the number of bytes of the incomplete last event. */
  readonly countPending: () => number;
  /** Returns whether the incomplete last event is more than the beginning of a comment. */
  readonly hasBegunEvent: () => boolean;
}

/** Bounds the memory for an endpoint that sends bytes without the end of an event. */
const MAX_EVENT_BYTES = 1024 * 1024;
const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_LINE = /^id: ?(.*)$/m;

/** A line that is neither empty nor a comment, which begins with a colon. */
const FIELD_LINE = /^[^:\r\n]/m;

const parseId = (bytes: Buffer): string | undefined =>
  ID_LINE.exec(bytes.toString('latin1'))?.[1]?.trim();

// An event ends with an empty line. Lines end with LF or CRLF.
const findEventEnd = (bytes: Buffer, from: number): number => {
  for (let at = bytes.indexOf(LINE_FEED, from); at >= 0; at = bytes.indexOf(LINE_FEED, at + 1)) {
    const next = bytes[at + 1] === CARRIAGE_RETURN ? at + 2 : at + 1;
    if (bytes[next] === LINE_FEED) return next + 1;
  }
  return -1;
};

/**
 * Whether an event is not after the last one. Ids increase; ids that are not numbers can only be
 * compared for equality.
 */
export const isRepeatedEvent = (
  id: string | undefined,
  lastEventId: string | undefined,
): boolean => {
  if (id === undefined || lastEventId === undefined) return false;
  return id === lastEventId || Number(id) <= Number(lastEventId);
};

/** Bytes before an event's last one that belong to its end: an empty line with CR LF. */
const END_OVERLAP_BYTES = 3;

/** Creates an empty reader. Its incomplete last event counts towards an account. */
export const createEventReader = (
  account: Pick<ByteAccount, 'acquire' | 'release'>,
): EventReader => {
  const pending = createByteBuffer(account);

  const appendPending = (bytes: Buffer): void => {
    if (!pending.add(bytes)) {
      throw new Error(`no memory is left for ${bytes.length} more bytes of an incomplete event`);
    }
    if (pending.countBytes() <= MAX_EVENT_BYTES) return;
    throw new Error(
      `an event has more than ${MAX_EVENT_BYTES} bytes: ${pending.countBytes()} without its end`,
    );
  };

  return {
    add: (chunk) => {
      const known = pending.countBytes();
      if (known > 0) appendPending(chunk);
      const bytes = known > 0 ? pending.read() : chunk;
      const events: StreamEvent[] = [];
      let start = 0;
      let end = findEventEnd(bytes, Math.max(0, known - END_OVERLAP_BYTES));
      while (end >= 0) {
        const event = bytes.subarray(start, end);
        events.push({ bytes: event, id: parseId(event) });
        start = end;
        end = findEventEnd(bytes, start);
      }
      if (known > 0 && start === 0) return events;
      if (known > 0) pending.clear();
      if (start < bytes.length) appendPending(bytes.subarray(start));
      return events;
    },
    countPending: pending.countBytes,
    hasBegunEvent: () => FIELD_LINE.test(pending.read().toString('latin1')),
  };
};
