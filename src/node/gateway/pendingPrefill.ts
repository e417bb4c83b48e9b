import { DEFAULT_PRIORITY, PRIORITY_COUNT } from '../decisions';
import type { EndpointLoad } from '../routingControl';

/** The prefill of a prompt, as predicted when the request was sent. */
export interface PredictedPrefill {
  /** Monotonic time in milliseconds at which the request was sent. */
  readonly sentAt: number;
  readonly prefillMs: number;
  /** Priority in the queue of the engine; undefined for a request without one. */
  readonly priority?: number | undefined;
}

/** The prefills that this gateway has pending at one endpoint. */
export interface PendingPrefills {
  readonly add: (prefill: PredictedPrefill) => void;
  readonly remove: (prefill: PredictedPrefill) => void;
  /**
   * Computes the remaining work in milliseconds. `peerLoad` is the work of the other gateways at
   * the endpoint, which takes its part of the elapsed time.
   */
  readonly compute: (
    peerLoad: EndpointLoad | undefined,
    now: number,
  ) => Pick<EndpointLoad, 'readMs' | 'readMsByPriority'>;
}

interface RemainingPrefill {
  readonly priority: number;
  readonly prefillMs: number;
  remainingMs: number;
}

/**
 * Fraction of a prefill that counts as remaining until the first token arrives, however late it is.
 */
const MIN_REMAINING_FRACTION = 0.1;

const computeSum = (values: readonly number[]): number =>
  values.reduce((sum, value) => sum + value, 0);

/**
 * Computes the pending work that goes before a new request of a priority, in milliseconds. Work
 * whose priority is unknown, from an older gateway or host, counts as ahead.
 */
export const computeWorkAhead = (
  { readMs, readMsByPriority = [] }: Pick<EndpointLoad, 'readMs' | 'readMsByPriority'>,
  priority: number,
): number => {
  const unknownMs = Math.max(0, readMs - computeSum(readMsByPriority));
  return unknownMs + computeSum(readMsByPriority.slice(0, priority + 1));
};

/** Creates the pending prefills of one endpoint, without any. */
export const createPendingPrefills = (): PendingPrefills => {
  const items = new Map<PredictedPrefill, RemainingPrefill>();
  let advancedAt = -Infinity;

  const computeByPriority = (): number[] => {
    const sums = Array.from({ length: PRIORITY_COUNT }, () => 0);
    for (const { priority, remainingMs } of items.values()) sums[priority]! += remainingMs;
    return sums;
  };

  const advancePriority = (priority: number, doneMs: number): void => {
    let leftMs = doneMs;
    for (const item of items.values()) {
      if (item.priority !== priority) continue;
      const stepMs = Math.min(leftMs, item.remainingMs);
      item.remainingMs -= stepMs;
      leftMs -= stepMs;
      if (leftMs <= 0) return;
    }
  };

  // The engine prefills the most urgent work first. Within a priority, the work of all gateways
  // advances in proportion.
  const advance = (peerLoad: EndpointLoad | undefined, now: number): void => {
    const peerByPriority = peerLoad?.readMsByPriority ?? [];
    const peerUnknownMs = Math.max(0, (peerLoad?.readMs ?? 0) - computeSum(peerByPriority));
    let leftMs = Math.max(0, now - advancedAt);
    advancedAt = Math.max(advancedAt, now);
    const own = computeByPriority();
    const ownMs = computeSum(own);
    if (ownMs === 0 || leftMs === 0) return;
    // Of work with an unknown priority, the part before this gateway's is unknown too.
    leftMs *= ownMs / (ownMs + peerUnknownMs);
    for (let priority = 0; priority < PRIORITY_COUNT && leftMs > 0; priority += 1) {
      const totalMs = own[priority]! + (peerByPriority[priority] ?? 0);
      const stepMs = Math.min(leftMs, totalMs);
      if (own[priority]! > 0) advancePriority(priority, (stepMs * own[priority]!) / totalMs);
      leftMs -= stepMs;
    }
  };

  return {
    add: (prefill) => {
      const { prefillMs, priority = DEFAULT_PRIORITY } = prefill;
      if (items.size === 0) advancedAt = prefill.sentAt;
      items.set(prefill, { priority, prefillMs, remainingMs: prefillMs });
    },
    remove: (prefill) => {
      items.delete(prefill);
    },
    compute: (peerLoad, now) => {
      if (items.size === 0) return { readMs: 0 };
      advance(peerLoad, now);
      const readMsByPriority = Array.from({ length: PRIORITY_COUNT }, () => 0);
      let readMs = 0;
      for (const { priority, prefillMs, remainingMs } of items.values()) {
        const countedMs = Math.max(MIN_REMAINING_FRACTION * prefillMs, remainingMs);
        readMsByPriority[priority]! += countedMs;
        readMs += countedMs;
      }
      return { readMs, readMsByPriority };
    },
  };
};
