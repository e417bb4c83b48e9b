import murmurhash from 'murmurhash';

// Load pattern: many requests share the beginning of their prompts, some beginnings are hot, and
// several gateways choose at once without seeing each other's latest choices.

/** An endpoint that may take a request, as one gateway sees it. */
export interface PlaceCandidate {
  readonly id: string;
  readonly isOwnZone: boolean;
  /** Requests that the endpoint runs at once. */
  readonly slots: number;
  /** This gateway's requests at the endpoint. */
  readonly running: number;
  /** Whether it is still slow after its start. */
  readonly isWarmingUp: boolean;
  /** Whether its latest answers were failures. */
  readonly isEjected: boolean;
}

/** What decides where a request goes. */
export interface PlaceQuestion {
  readonly candidates: readonly PlaceCandidate[];
  /** Shared beginning of the prompt with its model; empty where there is none. */
  readonly affinity: string;
  /** Draws among equals; the same for each attempt of a request. */
  readonly requestId: string;
  /** Gateways that send to the same endpoints, this one included. */
  readonly gatewayCount: number;
}

/** Where a request goes, or why nowhere. */
export type Placement =
  | { readonly type: 'placed'; readonly id: string; readonly reason: string }
  | { readonly type: 'refused'; readonly reason: string; readonly retryAfterMs: number };

/** An endpoint may have this many times the mean load of its pool before a part's next one is tried. */
const LOAD_FACTOR = 1.5;
/** Requests beyond the mean that do not count, so that affinity holds under light load. */
const LOAD_ALLOWANCE = 2;
/** Endpoints queue a few requests beyond their slots; more than this would only wait there. */
const QUEUE_FACTOR = 1.25;
/** A request at another zone's endpoint counts as this many more at it, for the way there. */
const OTHER_ZONE_LOAD = 0.75;
/** Without any endpoint the next reports are worth waiting for. */
const NO_ENDPOINT_RETRY_MS = 500;
/** A full pool frees places within about one answer's time. */
const FULL_RETRY_MS = 700;
const HASH_RANGE = 2 ** 32;

const computeHash = (...parts: readonly string[]): number =>
  murmurhash.v3(parts.join('|')) / HASH_RANGE;

const computeCapacity = ({ slots }: PlaceCandidate, gatewayCount: number): number =>
  Math.max(1, Math.ceil((slots * QUEUE_FACTOR) / gatewayCount));

const listUsable = (question: PlaceQuestion): readonly PlaceCandidate[] => {
  const { candidates } = question;
  const healthy = candidates.filter((candidate) => !candidate.isEjected);
  const known = healthy.length > 0 ? healthy : candidates;
  const warm = known.filter((candidate) => !candidate.isWarmingUp);
  return warm.length > 0 ? warm : known;
};

const chooseByAffinity = (
  usable: readonly PlaceCandidate[],
  { affinity }: PlaceQuestion,
): PlaceCandidate => {
  const total = usable.reduce((sum, { running }) => sum + running, 0);
  const bound = (LOAD_FACTOR * total) / usable.length + LOAD_ALLOWANCE;
  const ranked = usable
    .map((candidate) => ({ candidate, score: computeHash(affinity, candidate.id) }))
    .sort((a, b) => b.score - a.score);
  const free = ranked.find(({ candidate }) => candidate.running < bound);
  return (free ?? ranked[0]!).candidate;
};

const chooseByLoad = (
  usable: readonly PlaceCandidate[],
  { requestId, gatewayCount }: PlaceQuestion,
): PlaceCandidate => {
  // Gateways must not all choose the same endpoint, so the draw decides among near equals.
  const readLoad = (candidate: PlaceCandidate): number =>
    (candidate.running * gatewayCount) / Math.max(1, candidate.slots) +
    (candidate.isOwnZone ? 0 : OTHER_ZONE_LOAD) +
    computeHash(requestId, candidate.id) / 2;
  return [...usable].sort((a, b) => readLoad(a) - readLoad(b))[0]!;
};

/** Chooses the endpoint of a request: where its beginning is likely known, within a bounded load. */
export const placeRequest = (question: PlaceQuestion): Placement => {
  const { candidates, affinity, gatewayCount } = question;
  if (candidates.length === 0) {
    const reason = 'no endpoint takes requests';
    return { type: 'refused', reason, retryAfterMs: NO_ENDPOINT_RETRY_MS };
  }
  const usable = listUsable(question).filter(
    (candidate) => candidate.running < computeCapacity(candidate, gatewayCount),
  );
  if (usable.length === 0) {
    return { type: 'refused', reason: 'every endpoint is full', retryAfterMs: FULL_RETRY_MS };
  }
  const chosen =
    affinity === '' ? chooseByLoad(usable, question) : chooseByAffinity(usable, question);
  const reason = affinity === '' ? 'least loaded' : 'shared prompt';
  return { type: 'placed', id: chosen.id, reason };
};
