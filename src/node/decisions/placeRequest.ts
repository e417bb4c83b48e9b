import murmurhash from 'murmurhash';

// Load pattern: short calls to a few endpoints with few slots, which may differ in speed. One
// endpoint fails or slows down, and several gateways choose concurrently without seeing each other's
// latest choices.

/** An endpoint that may take a request, as one gateway sees it. */
export interface PlacementCandidate {
  readonly id: string;
  readonly isOwnZone: boolean;
  /** Requests that the endpoint runs at once. */
  readonly slots: number;
  /** Requests in flight at the endpoint, from all gateways as far as known. */
  readonly running: number;
  /** Time that one request is expected to run there, in milliseconds; absent if unknown. */
  readonly expectedMs?: number;
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
/** Endpoints among which the choice is made where endpoints differ in speed. */
const DRAWN_ENDPOINTS = 2;
/** Factor of the draw's score in the own zone; lower scores are drawn. */
const OWN_ZONE_DRAW_FACTOR = 0.7;
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

// Time factors of the endpoints; undefined if they are not known to differ.
const computeTimeFactors = (
  usable: readonly PlacementCandidate[],
): ReadonlyMap<string, number> | undefined => {
  const times = usable.flatMap(({ expectedMs }) => (expectedMs === undefined ? [] : [expectedMs]));
  if (times.every((time) => time === times[0])) return undefined;
  const meanMs = times.reduce((sum, time) => sum + time, 0) / times.length;
  return new Map(usable.map(({ id, expectedMs = meanMs }) => [id, expectedMs / meanMs]));
};

// All gateways see the loads of others as of the last exchange. If each chose the best of all
// endpoints, all would choose the same one until the next exchange. Two endpoints drawn by the hash,
// in proportion to their speed, spread the requests and still avoid a busy endpoint.
const listDrawn = (
  usable: readonly PlacementCandidate[],
  factors: ReadonlyMap<string, number>,
  requestId: string,
): readonly PlacementCandidate[] => {
  const readScore = ({ id, isOwnZone }: PlacementCandidate): number =>
    -Math.log(computeHash('draw', requestId, id) + 1 / HASH_RANGE) *
    factors.get(id)! *
    (isOwnZone ? OWN_ZONE_DRAW_FACTOR : 1);
  return [...usable].sort((a, b) => readScore(a) - readScore(b)).slice(0, DRAWN_ENDPOINTS);
};

const chooseByLoad = (
  usable: readonly PlacementCandidate[],
  factors: ReadonlyMap<string, number> | undefined,
  { requestId }: PlacementInput,
): PlacementCandidate => {
  // The time of the requests ahead plus that of the request itself, as a difference from a mean
  // endpoint without requests. With the factor 1 it is the number of requests per slot.
  const readWork = ({ id, running, slots }: PlacementCandidate): number => {
    const perSlot = running / Math.max(1, slots);
    const factor = factors?.get(id);
    return factor === undefined ? perSlot : factor * (1 + perSlot) - 1;
  };
  // The hash breaks near ties, so that the gateways do not all choose the same endpoint.
  const readLoad = (candidate: PlacementCandidate): number =>
    readWork(candidate) +
    (candidate.isOwnZone ? 0 : OTHER_ZONE_LOAD_PENALTY) +
    computeHash(requestId, candidate.id) * TIE_BREAK_LOAD;
  const considered = factors ? listDrawn(usable, factors, requestId) : usable;
  return [...considered].sort((a, b) => readLoad(a) - readLoad(b))[0]!;
};

/**
 * Chooses the endpoint of a plain service with the least expected work left, or the least loaded one
 * while endpoints don't differ; at similar load, one in the own zone.
 */
export const placeRequest = (input: PlacementInput): Placement => {
  if (input.candidates.length === 0) {
    const reason = 'no endpoint accepts requests';
    return { type: 'refused', reason, retryAfterMs: NO_ENDPOINT_RETRY_MS };
  }
  const usable = listUsable(input).filter(hasCapacity);
  if (usable.length === 0) {
    return { type: 'refused', reason: 'all endpoints are full', retryAfterMs: FULL_RETRY_MS };
  }
  const factors = computeTimeFactors(usable);
  const reason = factors ? 'least expected work' : 'least loaded';
  return { type: 'placed', id: chooseByLoad(usable, factors, input).id, reason };
};
