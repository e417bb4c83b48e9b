/** Lets callers wait for the next change. */
export interface WatchQueue {
  /** Resolves at the next change, or after `waitMs` at the latest. */
  readonly wait: (waitMs: number) => Promise<void>;
  /** Wakes all waiting callers. */
  readonly emit: () => void;
}

/** Creates a notifier without waiting callers. */
export const createWatchQueue = (): WatchQueue => {
  const waiting = new Set<() => void>();
  return {
    wait: (waitMs) =>
      new Promise((resolve) => {
        const handleEnd = (): void => {
          // Clears both the timer and the waiter, so that neither leaks.
          waiting.delete(handleEnd);
          // eslint-disable-next-line @typescript-eslint/no-use-before-define
          clearTimeout(timer);
          resolve();
        };
        const timer = setTimeout(handleEnd, waitMs);
        waiting.add(handleEnd);
      }),
    emit: () => [...waiting].forEach((handleEnd) => handleEnd()),
  };
};
