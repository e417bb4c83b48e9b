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
  readonly waitForBufferSpace: () => Promise<void>;
  /** Resolves with the token counts after the last frame, or when the attempt never runs. */
  readonly waitForEnd: () => Promise<TokenCounts | undefined>;
  readonly countBytes: () => number;
  /** Yields frames from an index on, until the answer ends or `stop` is aborted. */
  readonly read: (from: number, stop: AbortSignal) => AsyncGenerator<NumberedFrame>;
}

const FRAME_OVERHEAD_BYTES = 128;

const isLastFrame = (frame: FrameContent | undefined): boolean =>
  frame?.type === 'end' || frame?.type === 'failed';

const countFrameBytes = (frame: FrameContent): number =>
  FRAME_OVERHEAD_BYTES + (frame.type === 'data' ? frame.data.length : 0);

const readCounts = (frame: FrameContent | undefined): TokenCounts | undefined => {
  if (frame?.type === 'failed') return frame.counts;
  if (frame?.type !== 'end') return undefined;
  const { inputTokens, outputTokens } = frame;
  return { inputTokens, outputTokens };
};

const createDroppedFramesError = (from: number) =>
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
  let firstIndex = 0;
  let bytes = 0;
  let waiters: (() => void)[] = [];
  let state: AttemptState = 'queued';

  const notifyWaiters = (): void => {
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
    if (isLastFrame(frames.at(-1))) return;
    frames.push({ ...content, index: firstIndex + frames.length, name });
    bytes += countFrameBytes(content);
    if (isLastFrame(content) && state === 'started') state = 'done';
    notifyWaiters();
  };

  const refuse = (): boolean => {
    if (state === 'queued') state = 'never';
    notifyWaiters();
    return state === 'never';
  };

  const confirm = (upTo: number): void => {
    while (firstIndex < upTo && frames.length > 0 && !isLastFrame(frames[0])) {
      bytes -= countFrameBytes(frames.shift()!);
      firstIndex += 1;
    }
    notifyWaiters();
  };

  async function* read(from: number, stop: AbortSignal): AsyncGenerator<NumberedFrame> {
    let next = from;
    while (!stop.aborted) {
      if (next < firstIndex) throw createDroppedFramesError(next);
      const frame = frames[next - firstIndex];
      if (frame) {
        next += 1;
        yield frame;
        if (isLastFrame(frame)) return;
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
    waitForBufferSpace: async () => {
      while (bytes >= limitBytes && !abort.signal.aborted) await waitForChange(abort.signal);
    },
    waitForEnd: async () => {
      const neverAborted = new AbortController().signal;
      while (!isLastFrame(frames.at(-1)) && state !== 'never') await waitForChange(neverAborted);
      return readCounts(frames.at(-1));
    },
    countBytes: () => bytes,
    read,
  };
};
