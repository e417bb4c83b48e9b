import TinyQueue from 'tinyqueue';

interface ScheduledEvent {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** Simulated time in milliseconds, with what shall happen when. */
export interface Clock {
  readonly readNow: () => number;
  readonly schedule: (delayMs: number, run: () => void) => void;
  /** Runs everything up to a moment. */
  readonly runUntil: (end: number) => void;
}

/** Creates a clock at 0; what is due at the same moment runs in the order in which it was added. */
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
