import murmurhash from 'murmurhash';

/** An endpoint that could take a request, with its state as the entry sees it. */
export interface EndpointCandidate {
  readonly endpoint: string;
  readonly zone: string;
  readonly slots: number;
  /** Requests of this entry in flight at the endpoint. */
  readonly inFlight: number;
  /** Load that the endpoint reported, from all entries; absent without a report. */
  readonly reportedLoad?: number;
  /** Age of the report in milliseconds. */
  readonly reportAgeMs?: number;
  /** Share of the usual load that the endpoint may take; below 1 in slow start. */
  readonly slowStartFactor: number;
  /** True while the endpoint is ejected or its circuit is open. */
  readonly isEjected: boolean;
  /** Estimated share of the prompt in the endpoint's prefix cache, 0..1. */
  readonly cachedShare?: number;
}

/** Input for the choice of an endpoint. */
export interface EndpointInput {
  readonly candidates: readonly EndpointCandidate[];
  readonly zone: string;
  /** Name of the entry, from which its subset of endpoints is derived. */
  readonly entry: string;
  readonly subsetSize: number;
  /** Session or prompt prefix that is preferably routed to the same endpoint. */
  readonly affinity?: string;
  readonly excluded: ReadonlySet<string>;
  /** Two random numbers in 0..1 from the caller's generator. */
  readonly draws: readonly [number, number];
}

/** The chosen endpoint with the reason for the log. */
export interface EndpointChoice {
  readonly endpoint: string;
  readonly reason: 'affinity' | 'two choices' | 'only one';
}

/** Load reports older than this are ignored. */
const REPORT_LIFETIME_MS = 3_000;
/** Largest load of the affinity endpoint, relative to the mean load. */
const AFFINITY_LOAD_FACTOR = 1.25;
/** Above this load per slot in the own zone, requests may go to other zones. */
const ZONE_SPILL_LOAD = 1.5;

const computeHash = (text: string): number => murmurhash.v3(text);

/** Computes the load per slot; the weight of the report decreases with its age. */
export const computeLoad = (candidate: EndpointCandidate): number => {
  const { inFlight, reportedLoad = 0, reportAgeMs = Infinity, slots, slowStartFactor } = candidate;
  const reportWeight = Math.max(0, 1 - reportAgeMs / REPORT_LIFETIME_MS);
  const otherLoad = Math.max(0, reportedLoad - inFlight) * reportWeight;
  return (inFlight + otherLoad) / (slots * Math.max(0.05, slowStartFactor));
};

/**
 * Chooses the subset of endpoints that an entry uses, by rendezvous hashing. The subset is stable
 * while the endpoints stay the same, and the removal of one endpoint does not remove any other.
 */
export const chooseSubset = <T extends { readonly endpoint: string }>(
  endpoints: readonly T[],
  entry: string,
  size: number,
): readonly T[] => {
  if (endpoints.length <= size) return endpoints;
  return endpoints
    .map((item) => ({ item, score: computeHash(`${entry}|${item.endpoint}`) }))
    .sort((a, b) => b.score - a.score)
    .slice(0, size)
    .map(({ item }) => item);
};

const listUsable = (input: EndpointInput): readonly EndpointCandidate[] => {
  const untried = input.candidates.filter((candidate) => !input.excluded.has(candidate.endpoint));
  const healthy = untried.filter((candidate) => !candidate.isEjected);
  return healthy.length > 0 ? healthy : untried;
};

const computeMeanLoad = (candidates: readonly EndpointCandidate[]): number =>
  candidates.reduce((sum, candidate) => sum + computeLoad(candidate), 0) / candidates.length;

const choosePool = (input: EndpointInput): readonly EndpointCandidate[] => {
  const usable = listUsable(input);
  const ownZone = usable.filter((candidate) => candidate.zone === input.zone);
  const ownZoneSubset = chooseSubset(ownZone, input.entry, input.subsetSize);
  const isFull = ownZoneSubset.length === 0 || computeMeanLoad(ownZoneSubset) > ZONE_SPILL_LOAD;
  if (!isFull) return ownZoneSubset;
  const all = chooseSubset(usable, input.entry, input.subsetSize);
  const allZonesLoad = all.length > 0 ? computeMeanLoad(all) : Infinity;
  return ownZoneSubset.length > 0 && allZonesLoad >= computeMeanLoad(ownZoneSubset)
    ? ownZoneSubset
    : all;
};

const computeAffinityScore = (candidate: EndpointCandidate, affinity: string): number => {
  const hashed = computeHash(`${affinity}|${candidate.endpoint}`) / 2 ** 32;
  return (candidate.cachedShare ?? 0) * 2 + hashed;
};

const chooseByAffinity = (
  pool: readonly EndpointCandidate[],
  affinity: string,
): EndpointCandidate | undefined => {
  const best = pool.reduce((first, second) =>
    computeAffinityScore(second, affinity) > computeAffinityScore(first, affinity) ? second : first,
  );
  const maxLoad = Math.max(1 / best.slots, computeMeanLoad(pool) * AFFINITY_LOAD_FACTOR);
  return computeLoad(best) <= maxLoad ? best : undefined;
};

const chooseOfTwo = (
  pool: readonly EndpointCandidate[],
  draws: readonly [number, number],
): EndpointCandidate => {
  const firstIndex = Math.min(pool.length - 1, Math.floor(draws[0] * pool.length));
  const offset = 1 + Math.min(pool.length - 2, Math.floor(draws[1] * (pool.length - 1)));
  const first = pool[firstIndex]!;
  const second = pool[(firstIndex + offset) % pool.length]!;
  return computeLoad(second) < computeLoad(first) ? second : first;
};

/** Chooses an endpoint; returns nothing when all candidates are excluded. */
export const chooseEndpoint = (input: EndpointInput): EndpointChoice | undefined => {
  const pool = choosePool(input);
  if (pool.length === 0) return undefined;
  if (pool.length === 1) return { endpoint: pool[0]!.endpoint, reason: 'only one' };
  const byAffinity =
    input.affinity === undefined ? undefined : chooseByAffinity(pool, input.affinity);
  if (byAffinity) return { endpoint: byAffinity.endpoint, reason: 'affinity' };
  return { endpoint: chooseOfTwo(pool, input.draws).endpoint, reason: 'two choices' };
};
