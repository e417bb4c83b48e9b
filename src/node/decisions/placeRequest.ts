import murmurhash from 'murmurhash';

// Load pattern: short calls to a few endpoints with few slots. One endpoint fails or slows down,
// and several gateways choose concurrently without seeing each other's latest choices.

/** An endpoint that may take a request, as one gateway sees it. */
export interface PlacementCandidate {
  readonly id: string;
  readonly isOwnZone: boolean;
  /** Requests that the endpoint runs at once. */
  readonly slots: number;
  /** Requests in flight at the endpoint, from all gateways as far as known. */
  readonly running: number;
  /** Whether the endpoint is still slow after its start. */
  readonly isWarmingUp: boolean;
  /** Whether the endpoint is ejected after failures. */
  readonly isEjected: boolean;
}

/** Input for the placement of a request. */
export interface PlacementInput {
  readonly candidates: readonly PlacementCandidate[];
  /** Seed of the tie-break; the same for each attempt of a request. */
  readonly requestId: string;
}

/** The placement of a request, or the refusal. */
export type Placement =
  | { readonly type: 'placed'; readonly id: string; readonly reason: string }
  | { readonly type: 'refused'; readonly reason: string; readonly retryAfterMs: number };

/** Requests per slot above which an endpoint is full; more requests would wait too long. */
const QUEUE_FACTOR = 3;
/** Load added for an endpoint in another zone, for the network delay. */
const OTHER_ZONE_LOAD_PENALTY = 0.3;
/** Retry time without endpoints, by which new endpoint reports may have arrived. */
const NO_ENDPOINT_RETRY_MS = 500;
/** Retry time of a full pool; slots become free within about the time of one answer. */
const FULL_RETRY_MS = 700;
/** Largest load added by the tie-break between endpoints of similar load. */
const TIE_BREAK_LOAD = 0.2;
const HASH_RANGE = 2 ** 32;

const computeHash = (...parts: readonly string[]): number =>
  murmurhash.v3(parts.join('|')) / HASH_RANGE;

const hasCapacity = ({ slots, running }: PlacementCandidate): boolean =>
  running < slots * QUEUE_FACTOR;

const listUsable = (input: PlacementInput): readonly PlacementCandidate[] => {
  const { candidates } = input;
  const healthy = candidates.filter((candidate) => !candidate.isEjected);
  const known = healthy.length > 0 ? healthy : candidates;
  const warm = known.filter((candidate) => !candidate.isWarmingUp);
  return warm.length > 0 ? warm : known;
};

const chooseByLoad = (
  usable: readonly PlacementCandidate[],
  { requestId }: PlacementInput,
): PlacementCandidate => {
  // The hash breaks near ties, so that the gateways do not all choose the same endpoint.
  const readLoad = (candidate: PlacementCandidate): number =>
    candidate.running / Math.max(1, candidate.slots) +
    (candidate.isOwnZone ? 0 : OTHER_ZONE_LOAD_PENALTY) +
    computeHash(requestId, candidate.id) * TIE_BREAK_LOAD;
  return [...usable].sort((a, b) => readLoad(a) - readLoad(b))[0]!;
};

/** Chooses the least loaded endpoint of a plain service; at similar load, one in the own zone. */
export const placeRequest = (input: PlacementInput): Placement => {
  if (input.candidates.length === 0) {
    const reason = 'no endpoint accepts requests';
    return { type: 'refused', reason, retryAfterMs: NO_ENDPOINT_RETRY_MS };
  }
  const usable = listUsable(input).filter(hasCapacity);
  if (usable.length === 0) {
    return { type: 'refused', reason: 'all endpoints are full', retryAfterMs: FULL_RETRY_MS };
  }
  return { type: 'placed', id: chooseByLoad(usable, input).id, reason: 'least loaded' };
};
