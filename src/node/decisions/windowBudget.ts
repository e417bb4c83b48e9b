// Load pattern: many endpoints fail at once, and every gateway repeats what failed; all of them
// together may add a stated share to the load of a service, however few requests one gateway has.

/** Rules of a budget. */
export interface WindowBudgetOptions {
  /** Repeated runs for each request of the window. */
  readonly ratio: number;
  /** Repeated runs that all gateways may make beyond that. */
  readonly slack: number;
  readonly windowMs: number;
}

/** Repeated runs of one service at one gateway, in a sliding window. */
export interface WindowBudget {
  readonly recordRequest: (now: number) => void;
  /** Takes one repeated run; false when the window has no more. */
  readonly acquire: (now: number, gatewayCount: number) => boolean;
  readonly canAcquire: (now: number, gatewayCount: number) => boolean;
}

/** Part of the bound that is used, since windows of the gateways are not the same. */
const SAFETY_FRACTION = 0.8;

const removeExpired = (times: number[], oldest: number): void => {
  let count = 0;
  while (count < times.length && times[count]! < oldest) count += 1;
  times.splice(0, count);
};

/** Creates the budget of one service. */
export const createWindowBudget = (rules: WindowBudgetOptions): WindowBudget => {
  const requests: number[] = [];
  const repeats: number[] = [];

  const canAcquire = (now: number, gatewayCount: number): boolean => {
    removeExpired(requests, now - rules.windowMs);
    removeExpired(repeats, now - rules.windowMs);
    const allowed = rules.ratio * requests.length + rules.slack / Math.max(1, gatewayCount);
    return repeats.length + 1 <= SAFETY_FRACTION * allowed;
  };

  return {
    recordRequest: (now) => {
      requests.push(now);
    },
    canAcquire,
    acquire: (now, gatewayCount) => {
      const isAllowed = canAcquire(now, gatewayCount);
      if (isAllowed) repeats.push(now);
      return isAllowed;
    },
  };
};
