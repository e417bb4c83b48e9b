import { ANSWER_MEMORY_MS } from '../decisions';

/** Remembers when requests with each prompt block were last answered at this gateway. */
export interface AnsweredKeys {
  readonly record: (key: string, now: number) => void;
  /** Returns the monotonic time of the latest answer in milliseconds. */
  readonly find: (key: string) => number | undefined;
  readonly expire: (now: number) => void;
}

/** Bounds the memory; about the blocks of a minute of requests at one gateway. */
const MAX_ANSWERED = 10_000;

/** Creates an empty table. */
export const createAnsweredKeys = (): AnsweredKeys => {
  /** In the order of the times. */
  const times = new Map<string, number>();
  return {
    record: (key, now) => {
      times.delete(key);
      times.set(key, now);
      if (times.size > MAX_ANSWERED) times.delete(times.keys().next().value!);
    },
    find: (key) => times.get(key),
    expire: (now) => {
      for (const [key, at] of times) {
        if (now - at <= ANSWER_MEMORY_MS) return;
        times.delete(key);
      }
    },
  };
};
