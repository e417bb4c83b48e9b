/** The outcome of a wait that has a limit. */
export type TimedResult<T> =
  { readonly type: 'done'; readonly value: T } | { readonly type: 'late' };

/** Waits for a promise, at most `timeoutMs` milliseconds. The promise itself goes on. */
export const waitWithTimeout = <T>(
  promise: Promise<T>,
  timeoutMs: number,
): Promise<TimedResult<T>> =>
  new Promise((resolve, reject) => {
    const timer = setTimeout(() => resolve({ type: 'late' }), Math.max(0, timeoutMs));
    promise.then(
      (value) => {
        clearTimeout(timer);
        resolve({ type: 'done', value });
      },
      (cause: Error) => {
        clearTimeout(timer);
        reject(cause);
      },
    );
  });
