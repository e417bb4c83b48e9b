import { performance } from 'node:perf_hooks';

/** A moment on two clocks. */
export interface ClockReading {
  readonly monotonicMs: number;
  readonly wallMs: number;
}

/** Tells how long ago a moment was, also across a suspension of the host. */
export interface LeaseClock {
  readonly readClocks: () => ClockReading;
  /** Milliseconds since a moment, at least as many as have really passed. */
  readonly computeElapsedMs: (moment: ClockReading) => number;
}

/**
 * Creates a clock for leases. The steady clock stands still while a host is suspended and the time
 * of day may jump, so the longer of the two spans counts: a jump forward can only end a lease early.
 */
export const createLeaseClock = (
  readMonotonic: () => number = () => performance.now(),
  readWall: () => number = () => Date.now(),
): LeaseClock => ({
  readClocks: () => ({ monotonicMs: readMonotonic(), wallMs: readWall() }),
  computeElapsedMs: (moment) =>
    Math.max(readMonotonic() - moment.monotonicMs, readWall() - moment.wallMs),
});
