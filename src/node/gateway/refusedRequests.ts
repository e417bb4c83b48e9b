/** The requests that this gateway refused lately, by their fingerprints. */
export interface RefusedRequests {
  /** Records a refusal; it is of interest until the caller's limit ends. */
  readonly record: (fingerprint: string, deadlineAt: number, now: number) => void;
  /**
   * Whether a request was refused before and is back for the first time. Callers that return again
   * and again have no advantage.
   */
  readonly isReturner: (fingerprint: string, now: number) => boolean;
}

interface RefusedRequest {
  count: number;
  expiresAt: number;
}

/** Refused requests that are remembered at most; the oldest are forgotten first. */
const MAX_REQUESTS = 2_000;

/** Creates an empty record of refused requests. */
export const createRefusedRequests = (): RefusedRequests => {
  const requests = new Map<string, RefusedRequest>();

  const removeOld = (now: number): void => {
    for (const [fingerprint, { expiresAt }] of requests) {
      if (expiresAt > now && requests.size <= MAX_REQUESTS) return;
      requests.delete(fingerprint);
    }
  };

  return {
    record: (fingerprint, deadlineAt, now) => {
      const known = requests.get(fingerprint);
      requests.delete(fingerprint);
      const count = known && known.expiresAt > now ? known.count + 1 : 1;
      const expiresAt = Math.max(deadlineAt, known?.expiresAt ?? 0);
      requests.set(fingerprint, { count, expiresAt });
      removeOld(now);
    },
    isReturner: (fingerprint, now) => {
      const known = requests.get(fingerprint);
      return known !== undefined && known.count === 1 && known.expiresAt > now;
    },
  };
};
