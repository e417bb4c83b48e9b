import { performance } from 'node:perf_hooks';

/** A link with a limited rate, which all connections over it share. */
export interface ThrottledLink {
  /** Queues bytes and returns the milliseconds until the last one has arrived. */
  readonly queueBytes: (count: number) => number;
  readonly countBytes: () => number;
}

/** Creates a link without traffic. */
export const createThrottledLink = (bitsPerSecond: number): ThrottledLink => {
  const bytesPerMs = bitsPerSecond / 8 / 1_000;
  let freeAt = 0;
  let bytes = 0;
  return {
    queueBytes: (count) => {
      const now = performance.now();
      bytes += count;
      freeAt = Math.max(now, freeAt) + count / bytesPerMs;
      return freeAt - now;
    },
    countBytes: () => bytes,
  };
};
