/** The result of a wait with a timeout. */
export type TimedResult<T> =
  { readonly type: 'done'; readonly value: T } | { readonly type: 'late' };

/**
 * Waits for a promise for at most `timeoutMs` milliseconds. A timeout does not cancel the promise.
 */
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
