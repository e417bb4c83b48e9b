const REFUSAL_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Whether a status promises the caller that its request has not run and never will. */
export const isRefusalStatus = (status: number): boolean => REFUSAL_STATUSES.has(status);
