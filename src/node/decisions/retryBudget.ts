/** One budget for all repeated runs of an entry: retries, hedges and resends. */
export interface RetryBudget {
  /** Records a first run, which adds a fraction of a repeated run to the budget. */
  readonly recordFirstRun: () => void;
  /** Takes one repeated run from the budget; returns false when it is exhausted. */
  readonly acquire: () => boolean;
  readonly readBalance: () => number;
}

/** Largest balance of unused repeated runs. */
export const RETRY_RESERVE = 10;

/**
 * Creates a budget that allows repeated runs up to a share of the first runs, plus a small reserve.
 * When many endpoints fail at once, retries add at most that share to the load.
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
