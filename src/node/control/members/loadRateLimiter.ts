import type { LoadPermit } from '../../shared';

/** Rate limiter for loads from the weight store. */
export interface LoadRateLimiter {
  /**
   * Acquires a permit for one load. `now` is monotonic, in milliseconds. `perMinute` is the store's
   * rate limit.
   */
  readonly acquire: (now: number, perMinute: number) => LoadPermit;
  /** Empties the bucket, because the permits granted by an earlier leader are unknown. */
  readonly reset: (now: number) => void;
}

const MINUTE_MS = 60_000;

/** Creates a token bucket that holds one permit and starts empty. */
export const createLoadRateLimiter = (start: number): LoadRateLimiter => {
  let lastAt = start;
  return {
    acquire: (now, perMinute) => {
      const intervalMs = MINUTE_MS / perMinute;
      const waitMs = Math.ceil(lastAt + intervalMs - now);
      if (waitMs > 0) return { isGranted: false, waitMs };
      lastAt = now;
      return { isGranted: true, waitMs: 0 };
    },
    reset: (now) => {
      lastAt = now;
    },
  };
};
