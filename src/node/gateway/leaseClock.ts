import { performance } from 'node:perf_hooks';

/** A moment on two clocks. */
export interface Moment {
  readonly steadyMs: number;
  readonly wallMs: number;
}

/** Tells how long ago a moment was, also across a suspension of the host. */
export interface LeaseClock {
  readonly readMoment: () => Moment;
  /** Milliseconds since a moment, at least as many as have really passed. */
  readonly countSince: (moment: Moment) => number;
}

/**
 * Creates a clock for leases. The steady clock stands still while a host is suspended and the time
 * of day may jump, so the longer of the two spans counts: a jump forward can only end a lease early.
 */
export const createLeaseClock = (
  readSteady: () => number = () => performance.now(),
  readWall: () => number = () => Date.now(),
): LeaseClock => ({
  readMoment: () => ({ steadyMs: readSteady(), wallMs: readWall() }),
  countSince: (moment) => Math.max(readSteady() - moment.steadyMs, readWall() - moment.wallMs),
});
