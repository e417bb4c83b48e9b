/** Lets callers wait until something changes. */
export interface ChangeNotifier {
  /** Resolves at the next change or after `waitMs`, whichever comes first. */
  readonly wait: (waitMs: number) => Promise<void>;
  /** Wakes all who wait. */
  readonly notify: () => void;
}

/** Creates a queue without anyone in it. */
export const createChangeNotifier = (): ChangeNotifier => {
  const waiting = new Set<() => void>();
  return {
    wait: (waitMs) =>
      new Promise((resolve) => {
        const handleWake = (): void => {
          // Either end removes the other, so that nothing is left behind.
          waiting.delete(handleWake);
          // eslint-disable-next-line @typescript-eslint/no-use-before-define
          clearTimeout(timer);
          resolve();
        };
        const timer = setTimeout(handleWake, waitMs);
        waiting.add(handleWake);
      }),
    notify: () => [...waiting].forEach((handleEnd) => handleEnd()),
  };
};
