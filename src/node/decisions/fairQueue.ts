import Denque from 'denque';

/** The classes of work, most pressing first. */
export type WorkClass = 'urgent' | 'normal' | 'deferrable';

/** An item of work that waits. */
export interface QueuedItem<T> {
  readonly value: T;
  readonly organisation: string;
  readonly weight: number;
  readonly class: WorkClass;
  /** Expected size of the work, in any unit that is the same for all. */
  readonly size: number;
  /** Time at which it is of no use any more, in milliseconds. */
  readonly expiresAt: number;
}

/** A queue that is fair between organisations by weight, and prefers pressing work within bounds. */
export interface FairQueue<T> {
  readonly add: (item: QueuedItem<T>) => void;
  /** Takes the next item, or the next urgent one; nothing when there is none. */
  readonly next: (isUrgentOnly?: boolean) => QueuedItem<T> | undefined;
  /** Takes out and gives the items whose time is over. */
  readonly expire: (now: number) => readonly QueuedItem<T>[];
  /** Takes out the items that match. */
  readonly remove: (matches: (value: T) => boolean) => readonly QueuedItem<T>[];
  readonly count: () => number;
  /** Gives the size of the work that would be served before a new item of this kind, roughly. */
  readonly estimateWorkAhead: (
    organisation: string,
    weight: number,
    workClass: WorkClass,
  ) => number;
}

const CLASSES: readonly WorkClass[] = ['urgent', 'normal', 'deferrable'];

const URGENT_ONLY: readonly WorkClass[] = ['urgent'];

/** Shares between the classes of one organisation. */
const CLASS_WEIGHTS: Readonly<Record<WorkClass, number>> = {
  urgent: 100,
  normal: 10,
  deferrable: 1,
};

/** How many mean-sized items an organisation of weight 1 may run ahead of its share, by class. */
const CLASS_LEAD_ITEMS: Readonly<Record<WorkClass, number>> = {
  urgent: 16,
  normal: 0,
  deferrable: -16,
};

interface ClassQueue<T> {
  readonly items: Denque<QueuedItem<T>>;
  size: number;
  finish: number;
}

interface Flow<T> {
  readonly organisation: string;
  weight: number;
  finish: number;
  readonly classQueues: Readonly<Record<WorkClass, ClassQueue<T>>>;
  classClock: number;
}

const createClassQueue = <T>(): ClassQueue<T> => ({
  items: new Denque<QueuedItem<T>>(),
  size: 0,
  finish: 0,
});

const createFlow = <T>(organisation: string): Flow<T> => ({
  organisation,
  weight: 1,
  finish: 0,
  classQueues: {
    urgent: createClassQueue<T>(),
    normal: createClassQueue<T>(),
    deferrable: createClassQueue<T>(),
  },
  classClock: 0,
});

const isEmpty = <T>(flow: Flow<T>): boolean =>
  CLASSES.every((workClass) => flow.classQueues[workClass].items.length === 0);

const chooseClass = <T>(flow: Flow<T>, isUrgentOnly: boolean): WorkClass | undefined => {
  const classes = isUrgentOnly ? URGENT_ONLY : CLASSES;
  const pending = classes.filter((workClass) => flow.classQueues[workClass].items.length > 0);
  if (pending.length === 0) return undefined;
  const readStart = (workClass: WorkClass): number =>
    Math.max(flow.classClock, flow.classQueues[workClass].finish);
  return pending.reduce((best, workClass) =>
    readStart(workClass) < readStart(best) ? workClass : best,
  );
};

/**
 * Creates a queue by start-time fair queueing. Each organisation has a virtual time that moves on by
 * the size of its work over its weight; the smallest is served first. Urgent work may take its
 * organisation ahead of its share, and deferrable work keeps it behind, by a bounded amount only, so
 * that the shares hold in the long run and nobody starves.
 */
export const createFairQueue = <T>(): FairQueue<T> => {
  const flows = new Map<string, Flow<T>>();
  let clock = 0;
  let total = 0;
  let meanSize = 1;

  const acquireFlow = (organisation: string): Flow<T> => {
    const known = flows.get(organisation);
    if (known) return known;
    const flow = createFlow<T>(organisation);
    flow.finish = clock;
    flows.set(organisation, flow);
    return flow;
  };

  const computeKey = (flow: Flow<T>, workClass: WorkClass): number =>
    Math.max(clock, flow.finish) - CLASS_LEAD_ITEMS[workClass] * meanSize;

  const chooseFlow = (
    isUrgentOnly: boolean,
  ): { readonly flow: Flow<T>; readonly workClass: WorkClass } | undefined => {
    let best: { readonly flow: Flow<T>; readonly workClass: WorkClass } | undefined;
    let bestKey = Infinity;
    for (const flow of flows.values()) {
      const workClass = chooseClass(flow, isUrgentOnly);
      if (workClass === undefined) continue;
      const key = computeKey(flow, workClass);
      if (key < bestKey) {
        best = { flow, workClass };
        bestKey = key;
      }
    }
    return best;
  };

  // The clock never passes the start of a flow that still waits, so that nobody loses its turn.
  const advanceClock = (): void => {
    let earliest = Infinity;
    for (const flow of flows.values()) {
      if (!isEmpty(flow)) earliest = Math.min(earliest, Math.max(clock, flow.finish));
    }
    if (earliest !== Infinity) clock = Math.max(clock, earliest);
  };

  const removeIdleFlows = (): void => {
    // Nobody waits: what was served before gives no one a lead or a debt any more.
    if (total === 0) {
      flows.clear();
      clock = 0;
      return;
    }
    for (const [organisation, flow] of flows) {
      if (isEmpty(flow) && flow.finish <= clock) flows.delete(organisation);
    }
  };

  const removeFirst = (state: Flow<T>, workClass: WorkClass): QueuedItem<T> => {
    const lane = state.classQueues[workClass];
    const item = lane.items.shift()!;
    lane.size -= item.size;
    total -= 1;
    const start = Math.max(state.classClock, lane.finish);
    state.classClock = start;
    lane.finish = start + item.size / CLASS_WEIGHTS[workClass];
    state.finish = Math.max(clock, state.finish) + item.size / state.weight;
    advanceClock();
    return item;
  };

  const removeWhere = (matches: (item: QueuedItem<T>) => boolean): readonly QueuedItem<T>[] => {
    const removed: QueuedItem<T>[] = [];
    for (const flow of flows.values()) {
      for (const workClass of CLASSES) {
        const lane = flow.classQueues[workClass];
        for (let left = lane.items.length; left > 0; left -= 1) {
          const item = lane.items.shift()!;
          if (matches(item)) {
            removed.push(item);
            lane.size -= item.size;
          } else lane.items.push(item);
        }
      }
    }
    total -= removed.length;
    removeIdleFlows();
    return removed;
  };

  return {
    add: (item) => {
      const flow = acquireFlow(item.organisation);
      flow.weight = item.weight;
      const lane = flow.classQueues[item.class];
      lane.items.push(item);
      lane.size += item.size;
      total += 1;
      meanSize += (item.size - meanSize) / 16;
    },
    next: (isUrgentOnly = false) => {
      const chosen = chooseFlow(isUrgentOnly);
      if (!chosen) return undefined;
      const item = removeFirst(chosen.flow, chosen.workClass);
      if (isEmpty(chosen.flow)) removeIdleFlows();
      return item;
    },
    expire: (now) => removeWhere((item) => item.expiresAt <= now),
    remove: (matches) => removeWhere((item) => matches(item.value)),
    count: () => total,
    estimateWorkAhead: (organisation, weight, workClass) => {
      const own = flows.get(organisation);
      const place = CLASSES.indexOf(workClass);
      const ownAhead = own
        ? CLASSES.slice(0, place + 1).reduce((sum, item) => sum + own.classQueues[item].size, 0)
        : 0;
      let ahead = ownAhead;
      for (const flow of flows.values()) {
        if (flow.organisation === organisation) continue;
        const classes = CLASSES.slice(0, place + 1);
        const size = classes.reduce((sum, item) => sum + flow.classQueues[item].size, 0);
        ahead += Math.min(size, ((ownAhead + meanSize) * flow.weight) / weight);
      }
      return ahead;
    },
  };
};

/** Time after the last urgent arrival for which slots stay reserved. */
const URGENT_RESERVE_MS = 10_000;
const RESERVED_FRACTION = 0.25;

/** Counts the slots that only urgent work may take, while urgent work comes at all. */
export const countReservedSlots = (slots: number, sinceUrgentMs: number): number =>
  sinceUrgentMs > URGENT_RESERVE_MS ? 0 : Math.floor(slots * RESERVED_FRACTION);
