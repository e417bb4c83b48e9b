import { createError } from '../errors';
import {
  formatAttemptName,
  type AttemptRequest,
  type FrameContent,
  type NumberedFrame,
  type TokenCounts,
} from '../shared';

/** State of an attempt. `never` is a tombstone: the attempt has not run and never will. */
export type AttemptState = 'queued' | 'started' | 'done' | 'never';

/** An attempt with the answer frames that its entry may still request. */
export interface Attempt {
  readonly request: AttemptRequest;
  readonly name: string;
  readonly abort: AbortController;
  readonly state: () => AttemptState;
  readonly start: () => boolean;
  readonly append: (content: FrameContent) => void;
  /** Turns a queued attempt into a tombstone. Returns false if it has started. */
  readonly refuse: () => boolean;
  /** Turns a started attempt into a tombstone, if its call did not run on the engine. */
  readonly cancelStart: () => void;
  /** Drops the frames below an index. */
  readonly confirm: (upTo: number) => void;
  /** Resolves when the buffered frames are below the limit or the attempt is cancelled. */
  readonly waitForRoom: () => Promise<void>;
  /** Resolves with the token counts after the last frame, or when the attempt never runs. */
  readonly waitForEnd: () => Promise<TokenCounts | undefined>;
  readonly countBytes: () => number;
  /** Yields frames from an index on, until the answer ends or `stop` is aborted. */
  readonly read: (from: number, stop: AbortSignal) => AsyncGenerator<NumberedFrame>;
}

const FRAME_OVERHEAD_BYTES = 128;

const isLast = (frame: FrameContent | undefined): boolean =>
  frame?.type === 'end' || frame?.type === 'failed';

const countFrameBytes = (frame: FrameContent): number =>
  FRAME_OVERHEAD_BYTES + (frame.type === 'data' ? frame.data.length : 0);

const readCounts = (frame: FrameContent | undefined): TokenCounts | undefined => {
  if (frame?.type === 'failed') return frame.counts;
  if (frame?.type !== 'end') return undefined;
  const { inputTokens, outputTokens } = frame;
  return { inputTokens, outputTokens };
};

const createLostError = (from: number) =>
  createError({
    type: 'peer_failed',
    message: `the frames from index ${from} on are no longer buffered`,
    step: 'agent.resume',
    outcome: 'ran',
  });

/** Creates a queued attempt. Its engine is not read while `limitBytes` of frames are buffered. */
export const createAttempt = (request: AttemptRequest, limitBytes = Infinity): Attempt => {
  const frames: NumberedFrame[] = [];
  const abort = new AbortController();
  const name = formatAttemptName(request.requestId, request.attempt);
  let first = 0;
  let bytes = 0;
  let waiters: (() => void)[] = [];
  let state: AttemptState = 'queued';

  const emitChange = (): void => {
    const woken = waiters;
    waiters = [];
    woken.forEach((wake) => wake());
  };

  const waitForChange = (stop: AbortSignal): Promise<void> =>
    new Promise((resolve) => {
      if (stop.aborted) {
        resolve();
        return;
      }
      const handleAbort = (): void => resolve();
      stop.addEventListener('abort', handleAbort, { once: true });
      waiters.push(() => {
        stop.removeEventListener('abort', handleAbort);
        resolve();
      });
    });

  const append = (content: FrameContent): void => {
    if (isLast(frames.at(-1))) return;
    frames.push({ ...content, index: first + frames.length, name });
    bytes += countFrameBytes(content);
    if (isLast(content) && state === 'started') state = 'done';
    emitChange();
  };

  const refuse = (): boolean => {
    if (state === 'queued') state = 'never';
    emitChange();
    return state === 'never';
  };

  const confirm = (upTo: number): void => {
    while (first < upTo && frames.length > 0 && !isLast(frames[0])) {
      bytes -= countFrameBytes(frames.shift()!);
      first += 1;
    }
    emitChange();
  };

  async function* read(from: number, stop: AbortSignal): AsyncGenerator<NumberedFrame> {
    let next = from;
    while (!stop.aborted) {
      if (next < first) throw createLostError(next);
      const frame = frames[next - first];
      if (frame) {
        next += 1;
        yield frame;
        if (isLast(frame)) return;
      } else if (state === 'never') {
        return;
      } else {
        await waitForChange(stop);
      }
    }
  }

  return {
    request,
    name,
    abort,
    state: () => state,
    start: () => {
      if (state !== 'queued') return false;
      state = 'started';
      return true;
    },
    append,
    refuse,
    cancelStart: () => {
      if (state === 'started') state = 'never';
    },
    confirm,
    waitForRoom: async () => {
      while (bytes >= limitBytes && !abort.signal.aborted) await waitForChange(abort.signal);
    },
    waitForEnd: async () => {
      const never = new AbortController().signal;
      while (!isLast(frames.at(-1)) && state !== 'never') await waitForChange(never);
      return readCounts(frames.at(-1));
    },
    countBytes: () => bytes,
    read,
  };
};
