import TinyQueue from 'tinyqueue';

interface ScheduledEvent {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** Simulated time in milliseconds with a queue of scheduled callbacks. */
export interface Clock {
  readonly readNow: () => number;
  readonly schedule: (delayMs: number, run: () => void) => void;
  /** Runs every callback that is due until `end` and sets the time to `end`. */
  readonly runUntil: (end: number) => void;
}

/**
 * Creates a clock at 0. Callbacks due at the same time run in the order in which they were added.
 */
export const createClock = (): Clock => {
  const items = new TinyQueue<ScheduledEvent>([], (a, b) => a.at - b.at || a.order - b.order);
  let now = 0;
  let order = 0;
  return {
    readNow: () => now,
    schedule: (delayMs, run) => {
      order += 1;
      items.push({ at: now + Math.max(0, delayMs), order, run });
    },
    runUntil: (end) => {
      for (let item = items.peek(); item && item.at <= end; item = items.peek()) {
        items.pop();
        now = item.at;
        item.run();
      }
      now = end;
    },
  };
};
