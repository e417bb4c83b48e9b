/** One budget for every repeated run of an entry: retries, hedges and resends alike. */
export interface RetryBudget {
  /** Takes note of a first run, which earns a part of a repeated one. */
  readonly recordFirstRun: () => void;
  /** Takes one repeated run out of the budget; false when it is used up. */
  readonly acquire: () => boolean;
  readonly readBalance: () => number;
}

/** Repeated runs that may be saved up in quiet times. */
export const RETRY_RESERVE = 10;

/**
 * Creates a budget that allows repeated runs up to a share of the first runs, plus a small reserve.
 * When many endpoints fail at once, retries so add at most that share to the load.
 */
export const createRetryBudget = (readShare: () => number): RetryBudget => {
  let balance = RETRY_RESERVE;
  return {
    recordFirstRun: () => {
      balance = Math.min(RETRY_RESERVE, balance + readShare());
    },
    acquire: () => {
      if (balance < 1) return false;
      balance -= 1;
      return true;
    },
    readBalance: () => balance,
  };
};
