import { performance } from 'node:perf_hooks';

/** One point in time, read on the monotonic clock and on the wall clock. */
export interface ClockReading {
  readonly monotonicMs: number;
  readonly wallMs: number;
}

/** Measures elapsed time, even if the host was suspended in between. */
export interface LeaseClock {
  readonly readClocks: () => ClockReading;
  /** Returns the milliseconds since a reading; never less than the time that has really passed. */
  readonly computeElapsedMs: (reading: ClockReading) => number;
}

/**
 * Creates a clock for leases. The monotonic clock stops while a host is suspended, and the wall
 * clock may jump, so the longer of the two spans is used. A forward jump of the wall clock can then
 * only end a lease early.
 */
export const createLeaseClock = (
  readMonotonic: () => number = () => performance.now(),
  readWall: () => number = () => Date.now(),
): LeaseClock => ({
  readClocks: () => ({ monotonicMs: readMonotonic(), wallMs: readWall() }),
  computeElapsedMs: (reading) =>
    Math.max(readMonotonic() - reading.monotonicMs, readWall() - reading.wallMs),
});
