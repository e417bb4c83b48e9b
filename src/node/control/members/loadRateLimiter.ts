import type { LoadPermit } from '../../shared';

/** Grants loads from the weight store at a bounded rate. */
export interface LoadRateLimiter {
  /** `now` is monotonic time in milliseconds, `perMinute` the store's rate limit. */
  readonly acquire: (now: number, perMinute: number) => LoadPermit;
  /** Begins with an empty bucket: what an earlier leader granted is not known. */
  readonly reset: (now: number) => void;
}

const MINUTE_MS = 60_000;

/** Creates a bucket of one permit that starts empty. */
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
