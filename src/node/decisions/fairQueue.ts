import Denque from 'denque';

/** The classes of work, most urgent first. */
export type WorkClass = 'urgent' | 'normal' | 'deferrable';

/** A queued item of work. */
export interface QueuedItem<T> {
  readonly value: T;
  readonly organisation: string;
  readonly weight: number;
  readonly class: WorkClass;
  /** Expected size of the work, in any unit that all items share. */
  readonly size: number;
  /** Time in milliseconds at which the item expires. */
  readonly expiresAt: number;
}

/**
 * A queue with weighted fairness between organisations and a bounded preference for urgent work.
 */
export interface FairQueue<T> {
  readonly add: (item: QueuedItem<T>) => void;
  /**
   * Removes and returns the next item or the next urgent item; returns nothing when there is none.
   */
  readonly next: (isUrgentOnly?: boolean) => QueuedItem<T> | undefined;
  /** Removes and returns the expired items. */
  readonly expire: (now: number) => readonly QueuedItem<T>[];
  /** Removes and returns the matching items. */
  readonly remove: (matches: (value: T) => boolean) => readonly QueuedItem<T>[];
  readonly count: () => number;
  /** Estimates the size of the work that would be served before a new item of this class. */
  readonly estimateWorkAhead: (
    organisation: string,
    weight: number,
    workClass: WorkClass,
  ) => number;
}

const CLASSES: readonly WorkClass[] = ['urgent', 'normal', 'deferrable'];

const URGENT_ONLY: readonly WorkClass[] = ['urgent'];

/** Weights of the classes within one organisation. */
const CLASS_WEIGHTS: Readonly<Record<WorkClass, number>> = {
  urgent: 100,
  normal: 10,
  deferrable: 1,
};

/** Lead of an organisation of weight 1 over its fair share by class, in mean-sized items. */
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
 * Creates a queue with start-time fair queueing. Each organisation has a virtual time that advances
 * by the size of its served work divided by its weight. The organisation with the smallest virtual
 * time is served first. Urgent work moves its organisation ahead of its fair share and deferrable
 * work moves it behind. Both shifts are bounded, so the shares hold in the long run and no work
 * starves.
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

  // The clock never passes the start time of a waiting flow, so no flow loses its turn.
  const advanceClock = (): void => {
    let earliest = Infinity;
    for (const flow of flows.values()) {
      if (!isEmpty(flow)) earliest = Math.min(earliest, Math.max(clock, flow.finish));
    }
    if (earliest !== Infinity) clock = Math.max(clock, earliest);
  };

  const removeIdleFlows = (): void => {
    // The queue is empty: past service no longer counts for or against any organisation.
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
    const classQueue = state.classQueues[workClass];
    const item = classQueue.items.shift()!;
    classQueue.size -= item.size;
    total -= 1;
    const start = Math.max(state.classClock, classQueue.finish);
    state.classClock = start;
    classQueue.finish = start + item.size / CLASS_WEIGHTS[workClass];
    state.finish = Math.max(clock, state.finish) + item.size / state.weight;
    advanceClock();
    return item;
  };

  const removeWhere = (matches: (item: QueuedItem<T>) => boolean): readonly QueuedItem<T>[] => {
    const removed: QueuedItem<T>[] = [];
    for (const flow of flows.values()) {
      for (const workClass of CLASSES) {
        const classQueue = flow.classQueues[workClass];
        for (let remaining = classQueue.items.length; remaining > 0; remaining -= 1) {
          const item = classQueue.items.shift()!;
          if (matches(item)) {
            removed.push(item);
            classQueue.size -= item.size;
          } else classQueue.items.push(item);
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
      const classQueue = flow.classQueues[item.class];
      classQueue.items.push(item);
      classQueue.size += item.size;
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
      const ownFlow = flows.get(organisation);
      const classIndex = CLASSES.indexOf(workClass);
      const ownAhead = ownFlow
        ? CLASSES.slice(0, classIndex + 1).reduce(
            (sum, item) => sum + ownFlow.classQueues[item].size,
            0,
          )
        : 0;
      let ahead = ownAhead;
      for (const flow of flows.values()) {
        if (flow.organisation === organisation) continue;
        const classes = CLASSES.slice(0, classIndex + 1);
        const size = classes.reduce((sum, item) => sum + flow.classQueues[item].size, 0);
        ahead += Math.min(size, ((ownAhead + meanSize) * flow.weight) / weight);
      }
      return ahead;
    },
  };
};

/** Time after the last urgent arrival during which slots stay reserved, in milliseconds. */
const URGENT_RESERVE_MS = 10_000;
const RESERVED_FRACTION = 0.25;

/** Counts the slots reserved for urgent work; none are reserved without recent urgent arrivals. */
export const countReservedSlots = (slots: number, sinceUrgentMs: number): number =>
  sinceUrgentMs > URGENT_RESERVE_MS ? 0 : Math.floor(slots * RESERVED_FRACTION);
