import { setTimeout } from 'node:timers/promises';

/** Waits for some milliseconds; tests put their own clock here. */
export type Sleep = (milliseconds: number) => Promise<void>;

/** Waits on the real clock, without keeping the process alive. */
export const sleep: Sleep = (milliseconds) => setTimeout(milliseconds, undefined, { ref: false });
