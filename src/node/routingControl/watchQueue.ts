/** Lets callers wait until something changes. */
export interface WatchQueue {
  /** Resolves at the next change or after `waitMs`, whichever comes first. */
  readonly wait: (waitMs: number) => Promise<void>;
  /** Wakes all who wait. */
  readonly emit: () => void;
}

/** Creates a queue without anyone in it. */
export const createWatchQueue = (): WatchQueue => {
  const waiting = new Set<() => void>();
  return {
    wait: (waitMs) =>
      new Promise((resolve) => {
        const handleEnd = (): void => {
          // Either end removes the other, so that nothing is left behind.
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
