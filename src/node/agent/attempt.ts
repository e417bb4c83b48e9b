import type { AttemptRequest, Frame } from '../shared';

/** Where an attempt stands; `never` is a tombstone: it has not run and never will. */
export type AttemptState = 'queued' | 'started' | 'done' | 'never';

type FrameInput =
  | Omit<Extract<Frame, { readonly type: 'head' }>, 'index'>
  | Omit<Extract<Frame, { readonly type: 'data' }>, 'index'>
  | Omit<Extract<Frame, { readonly type: 'end' }>, 'index'>
  | Omit<Extract<Frame, { readonly type: 'failed' }>, 'index'>;

/** One attempt with the frames of its answer so far. */
export interface Attempt {
  readonly request: AttemptRequest;
  readonly abort: AbortController;
  readonly state: () => AttemptState;
  readonly start: () => boolean;
  readonly append: (frame: FrameInput) => void;
  /** Turns a queued attempt into a tombstone; false once it has started. */
  readonly refuse: () => boolean;
  /** Reads frames from an index on, until the answer has ended or the reader stops. */
  readonly read: (from: number, stop: AbortSignal) => AsyncGenerator<Frame>;
}

const isLast = (frame: Frame): boolean => frame.type === 'end' || frame.type === 'failed';

/** Creates a queued attempt without frames. */
export const createAttempt = (request: AttemptRequest): Attempt => {
  const frames: Frame[] = [];
  const abort = new AbortController();
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
      waiters.push(resolve);
      stop.addEventListener('abort', () => resolve(), { once: true });
    });

  const append = (frame: FrameInput): void => {
    frames.push({ ...frame, index: frames.length });
    if (isLast(frames.at(-1)!) && state === 'started') state = 'done';
    emitChange();
  };

  const refuse = (): boolean => {
    if (state === 'queued') state = 'never';
    emitChange();
    return state === 'never';
  };

  async function* read(from: number, stop: AbortSignal): AsyncGenerator<Frame> {
    let next = from;
    while (!stop.aborted) {
      if (next < frames.length) {
        const frame = frames[next]!;
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
    abort,
    state: () => state,
    start: () => {
      if (state !== 'queued') return false;
      state = 'started';
      return true;
    },
    append,
    refuse,
    read,
  };
};
