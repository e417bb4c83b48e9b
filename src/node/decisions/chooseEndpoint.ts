import murmurhash from 'murmurhash';

/** An endpoint that could take a request, with what the entry knows of it. */
export interface EndpointCandidate {
  readonly endpoint: string;
  readonly zone: string;
  readonly slots: number;
  /** Work that this entry has under way there. */
  readonly inFlight: number;
  /** Work that the endpoint reported, from all entries; absent when nothing is known. */
  readonly reportedLoad?: number;
  /** Age of the report in milliseconds. */
  readonly reportAgeMs?: number;
  /** Share of the usual load that the endpoint may take: below 1 in slow start. */
  readonly readiness: number;
  /** True while ejected or while its circuit is open. */
  readonly isEjected: boolean;
  /** Tokens of the prompt's prefix that the endpoint is believed to hold, 0..1 of the prompt. */
  readonly cachedShare?: number;
}

/** What the choice of an endpoint is asked. */
export interface EndpointInput {
  readonly candidates: readonly EndpointCandidate[];
  readonly zone: string;
  /** Names the entry; its subset follows from it. */
  readonly entry: string;
  readonly subsetSize: number;
  /** Session or prompt prefix that likes to stay on one endpoint. */
  readonly affinity?: string;
  readonly excluded: ReadonlySet<string>;
  /** Two numbers in 0..1 from the caller's generator. */
  readonly draws: readonly [number, number];
}

/** The chosen endpoint with the reason for the log. */
export interface EndpointChoice {
  readonly endpoint: string;
  readonly reason: 'affinity' | 'two choices' | 'only one';
}

/** Reports older than this say nothing about the load now. */
const REPORT_LIFETIME_MS = 3_000;
/** The affine endpoint may be this much more loaded than the mean. */
const AFFINITY_LOAD_FACTOR = 1.25;
/** Above this load per slot the own zone is full and the other zones help out. */
const ZONE_SPILL_LOAD = 1.5;

const computeHash = (text: string): number => murmurhash.v3(text);

/** Computes the work per slot, with the report fading as it ages. */
export const computeLoad = (candidate: EndpointCandidate): number => {
  const { inFlight, reportedLoad = 0, reportAgeMs = Infinity, slots, readiness } = candidate;
  const trust = Math.max(0, 1 - reportAgeMs / REPORT_LIFETIME_MS);
  const others = Math.max(0, reportedLoad - inFlight) * trust;
  return (inFlight + others) / (slots * Math.max(0.05, readiness));
};

/**
 * Chooses the subset of endpoints that an entry speaks to by rendezvous hashing: stable while the
 * endpoints stay, and one endpoint's end moves no other's place.
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

const listUsable = (question: EndpointInput): readonly EndpointCandidate[] => {
  const fresh = question.candidates.filter(
    (candidate) => !question.excluded.has(candidate.endpoint),
  );
  const healthy = fresh.filter((candidate) => !candidate.isEjected);
  return healthy.length > 0 ? healthy : fresh;
};

const computeMeanLoad = (candidates: readonly EndpointCandidate[]): number =>
  candidates.reduce((sum, candidate) => sum + computeLoad(candidate), 0) / candidates.length;

const choosePool = (question: EndpointInput): readonly EndpointCandidate[] => {
  const usable = listUsable(question);
  const near = usable.filter((candidate) => candidate.zone === question.zone);
  const nearSubset = chooseSubset(near, question.entry, question.subsetSize);
  const isFull = nearSubset.length === 0 || computeMeanLoad(nearSubset) > ZONE_SPILL_LOAD;
  if (!isFull) return nearSubset;
  const all = chooseSubset(usable, question.entry, question.subsetSize);
  const farLoad = all.length > 0 ? computeMeanLoad(all) : Infinity;
  return nearSubset.length > 0 && farLoad >= computeMeanLoad(nearSubset) ? nearSubset : all;
};

const computeAffinityScore = (candidate: EndpointCandidate, affinity: string): number => {
  const hashed = computeHash(`${affinity}|${candidate.endpoint}`) / 2 ** 32;
  return (candidate.cachedShare ?? 0) * 2 + hashed;
};

const chooseAffine = (
  pool: readonly EndpointCandidate[],
  affinity: string,
): EndpointCandidate | undefined => {
  const best = pool.reduce((first, second) =>
    computeAffinityScore(second, affinity) > computeAffinityScore(first, affinity) ? second : first,
  );
  const bound = Math.max(1 / best.slots, computeMeanLoad(pool) * AFFINITY_LOAD_FACTOR);
  return computeLoad(best) <= bound ? best : undefined;
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

/** Chooses an endpoint; nothing when every one of them was tried. */
export const chooseEndpoint = (question: EndpointInput): EndpointChoice | undefined => {
  const pool = choosePool(question);
  if (pool.length === 0) return undefined;
  if (pool.length === 1) return { endpoint: pool[0]!.endpoint, reason: 'only one' };
  const affine =
    question.affinity === undefined ? undefined : chooseAffine(pool, question.affinity);
  if (affine) return { endpoint: affine.endpoint, reason: 'affinity' };
  return { endpoint: chooseOfTwo(pool, question.draws).endpoint, reason: 'two choices' };
};
