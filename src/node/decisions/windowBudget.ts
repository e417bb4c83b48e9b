// Load pattern: many endpoints fail at once, and all gateways retry the failed requests. Together
// they may add at most a configured share to a service's load, even if one gateway has few
// requests.

/** Options of a sliding-window retry budget. */
export interface WindowBudgetOptions {
  /** Repeated runs allowed per request in the window. */
  readonly ratio: number;
  /** Additional repeated runs, shared by all gateways. */
  readonly slack: number;
  readonly windowMs: number;
}

/** Sliding-window budget for the repeated runs of one service at one gateway. */
export interface WindowBudget {
  readonly recordRequest: (now: number) => void;
  /** Takes one repeated run from the budget; returns false when the budget is exhausted. */
  readonly acquire: (now: number, gatewayCount: number) => boolean;
  readonly canAcquire: (now: number, gatewayCount: number) => boolean;
}

/** Fraction of the limit that is used, since the windows of the gateways are not aligned. */
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
