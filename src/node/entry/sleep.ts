import { setTimeout } from 'node:timers/promises';

/** Waits for a number of milliseconds. Tests replace it with their own clock. */
export type Sleep = (milliseconds: number) => Promise<void>;

/** Waits in real time, without keeping the process alive. */
export const sleep: Sleep = (milliseconds) => setTimeout(milliseconds, undefined, { ref: false });
