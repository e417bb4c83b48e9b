/** Lets callers wait for the next change. */
export interface ChangeNotifier {
  /** Resolves at the next change, or after `waitMs` at the latest. */
  readonly wait: (waitMs: number) => Promise<void>;
  /** Wakes all waiting callers. */
  readonly notify: () => void;
}

/** Creates a notifier without waiting callers. */
export const createChangeNotifier = (): ChangeNotifier => {
  const waiting = new Set<() => void>();
  return {
    wait: (waitMs) =>
      new Promise((resolve) => {
        const handleWake = (): void => {
          // Clears both the timer and the waiter, so that neither leaks.
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
