/** What the order of waiting requests depends on. */
export interface QueuePosition {
  /** Urgency, 0 is the most urgent. */
  readonly rank: number;
  /** Whether the organisation has used more than its fair share. */
  readonly isAboveShare: boolean;
  readonly isReturner: boolean;
  /** Monotonic time in milliseconds after which an offer is too late. */
  readonly latestOfferAt: number;
}

/** A bounded queue: rank first, then fairness, returning requests and the least slack. */
export interface PlacementQueue<T extends QueuePosition> {
  /** Adds an item; returns false when the queue is full. */
  readonly add: (item: T) => boolean;
  readonly remove: (item: T) => boolean;
  /** Lists the items, first to run first. */
  readonly list: () => readonly T[];
  /** Lists the items that go before a new item at a position. */
  readonly listAhead: (position: QueuePosition) => readonly T[];
  /** Finds the item that a new item at a position would displace from a full queue, if any. */
  readonly findDisplaced: (position: QueuePosition) => T | undefined;
  readonly count: () => number;
}

/** Orders two waiting requests; negative when the first one goes before the second one. */
export const comparePositions = (a: QueuePosition, b: QueuePosition): number =>
  a.rank - b.rank ||
  Number(a.isAboveShare) - Number(b.isAboveShare) ||
  Number(b.isReturner) - Number(a.isReturner) ||
  a.latestOfferAt - b.latestOfferAt;

/** Creates an empty queue for at most `limit` requests. */
export const createPlacementQueue = <T extends QueuePosition>(limit: number): PlacementQueue<T> => {
  const items: T[] = [];

  // Index of the first item that a new one goes before; equal ones keep their order of arrival.
  const findIndex = (position: QueuePosition): number => {
    let from = 0;
    let to = items.length;
    while (from < to) {
      const middle = Math.floor((from + to) / 2);
      if (comparePositions(items[middle]!, position) <= 0) from = middle + 1;
      else to = middle;
    }
    return from;
  };

  return {
    add: (item) => {
      if (items.length >= limit) return false;
      items.splice(findIndex(item), 0, item);
      return true;
    },
    remove: (item) => {
      const index = items.indexOf(item);
      if (index >= 0) items.splice(index, 1);
      return index >= 0;
    },
    list: () => [...items],
    listAhead: (position) => items.slice(0, findIndex(position)),
    findDisplaced: (position) => {
      const last = items.at(-1);
      if (!last || items.length < limit) return undefined;
      return comparePositions(position, last) < 0 ? last : undefined;
    },
    count: () => items.length,
  };
};
