/**
 * The process at an endpoint's address after its connection has closed, compared with the one that
 * a request was sent to: `gone` if nothing accepts connections there, `unknown` if it does not say
 * which process it is.
 */
export type ProcessState = 'same' | 'replaced' | 'gone' | 'unknown';

/** The end of a response that has neither a length nor chunks and whose connection has closed. */
export interface CloseDelimitedEnd {
  readonly process: ProcessState;
  /** Whether the endpoint sent an event, or any part of a body that is not a stream. */
  readonly hasContent: boolean;
  /** Whether an earlier attempt ended in the same way after the event that was the last one here. */
  readonly isRepeated: boolean;
  /** Whether another attempt may confirm the end of a stream. */
  readonly canConfirm: boolean;
  /** Whether another endpoint may be sent the whole request. */
  readonly canRetry: boolean;
}

/**
 * What such an end shows: that the response is `complete` as far as can be known, that its
 * endpoint was `lost`, that it broke off before it began (`empty`), or nothing: then a stream is
 * resumed (`unconfirmed`), and a body is replaced with another endpoint's (`doubtful`).
 */
export type EndVerdict = 'complete' | 'lost' | 'empty' | 'unconfirmed' | 'doubtful';

const LOST_STATES: ReadonlySet<ProcessState> = new Set(['replaced', 'gone']);

/**
 * Judges the end of a close-delimited response. A faulty endpoint may close a connection at any
 * byte, so a process that goes on shows only that the response was not cut off by its loss.
 */
export const judgeCloseDelimitedEnd = ({
  process,
  hasContent,
  isRepeated,
  canConfirm,
  canRetry,
}: CloseDelimitedEnd): EndVerdict => {
  if (LOST_STATES.has(process)) return 'lost';
  if (!hasContent) return 'empty';
  if (canConfirm) return isRepeated && process === 'same' ? 'complete' : 'unconfirmed';
  return process === 'unknown' && canRetry ? 'doubtful' : 'complete';
};
