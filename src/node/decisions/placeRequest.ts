import murmurhash from 'murmurhash';

// Load pattern: short calls to a few endpoints with few slots, one of which fails or slows down, and
// several gateways that choose at once without seeing each other's latest choices.

/** An endpoint that may take a request, as one gateway sees it. */
export interface PlacementCandidate {
  readonly id: string;
  readonly isOwnZone: boolean;
  /** Requests that the endpoint runs at once. */
  readonly slots: number;
  /** Requests under way there, of all gateways as far as known. */
  readonly running: number;
  /** Whether it is still slow after its start. */
  readonly isWarmingUp: boolean;
  /** Whether its latest answers were failures. */
  readonly isEjected: boolean;
}

/** What decides where a request goes. */
export interface PlacementInput {
  readonly candidates: readonly PlacementCandidate[];
  /** Draws among equals; the same for each attempt of a request. */
  readonly requestId: string;
}

/** Where a request goes, or why nowhere. */
export type Placement =
  | { readonly type: 'placed'; readonly id: string; readonly reason: string }
  | { readonly type: 'refused'; readonly reason: string; readonly retryAfterMs: number };

/** Endpoints queue a few requests beyond their slots; more than this would only wait too long. */
const QUEUE_FACTOR = 3;
/** A request at another zone's endpoint counts as this many more at it, for the way there. */
const OTHER_ZONE_LOAD_PENALTY = 0.3;
/** Without any endpoint the next reports are worth waiting for. */
const NO_ENDPOINT_RETRY_MS = 500;
/** A full pool frees places within about one answer's time. */
const FULL_RETRY_MS = 700;
/** Range of the draw among near equals, as a load. */
const TIE_BREAK_LOAD = 0.2;
const HASH_RANGE = 2 ** 32;

const computeHash = (...parts: readonly string[]): number =>
  murmurhash.v3(parts.join('|')) / HASH_RANGE;

const hasCapacity = ({ slots, running }: PlacementCandidate): boolean =>
  running < slots * QUEUE_FACTOR;

const listUsable = (question: PlacementInput): readonly PlacementCandidate[] => {
  const { candidates } = question;
  const healthy = candidates.filter((candidate) => !candidate.isEjected);
  const known = healthy.length > 0 ? healthy : candidates;
  const warm = known.filter((candidate) => !candidate.isWarmingUp);
  return warm.length > 0 ? warm : known;
};

const chooseByLoad = (
  usable: readonly PlacementCandidate[],
  { requestId }: PlacementInput,
): PlacementCandidate => {
  // Gateways must not all choose the same endpoint, so the draw decides among near equals.
  const readLoad = (candidate: PlacementCandidate): number =>
    candidate.running / Math.max(1, candidate.slots) +
    (candidate.isOwnZone ? 0 : OTHER_ZONE_LOAD_PENALTY) +
    computeHash(requestId, candidate.id) * TIE_BREAK_LOAD;
  return [...usable].sort((a, b) => readLoad(a) - readLoad(b))[0]!;
};

/** Chooses the least loaded endpoint of a plain service, at home among near equals. */
export const placeRequest = (question: PlacementInput): Placement => {
  if (question.candidates.length === 0) {
    const reason = 'no endpoint takes requests';
    return { type: 'refused', reason, retryAfterMs: NO_ENDPOINT_RETRY_MS };
  }
  const usable = listUsable(question).filter(hasCapacity);
  if (usable.length === 0) {
    return { type: 'refused', reason: 'every endpoint is full', retryAfterMs: FULL_RETRY_MS };
  }
  return { type: 'placed', id: chooseByLoad(usable, question).id, reason: 'least loaded' };
};
