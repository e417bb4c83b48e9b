// Load pattern: a mix of easy and hard requests of unknown difficulty. A small model answers the
// easy ones at a tenth of the price and reports its confidence before its first token. Long prompts
// use most of the time until the first token is due, so one run may leave no time for another.

/**
 * Predicts a model's time to the first token at its best endpoint, in milliseconds. Returns
 * infinity when no endpoint is available.
 */
export type EstimateFirstToken = (model: string) => number;

/** Input for the choice of the first model. */
export interface ModelInput {
  /** Models that may answer, smallest first. */
  readonly models: readonly string[];
  /** Milliseconds left until the answer misses its latency target. */
  readonly timeLeftMs: number;
  /** Urgency of the request, 0 is the most urgent. */
  readonly rank: number;
  readonly estimateFirstToken: EstimateFirstToken;
  /** Whether the pool has room for the work of larger models; a request of this rank may use them. */
  readonly hasRoomForLarger: boolean;
}

/** Input for the choice of a second model, when the first model's answer begins. */
export interface EscalationInput extends ModelInput {
  readonly model: string;
  /** Confidence that the model reports for its answer, 0 to 100; absent if it reports none. */
  readonly confidence: number | undefined;
  /** Remaining attempts of the route's limit. */
  readonly attemptsLeft: number;
  /** Whether the retry budget allows another run. */
  readonly hasBudget: boolean;
}

/** Below this confidence most answers of a small model are not good enough. */
const MIN_CONFIDENCE = 60;
/** Predictions below this fraction of the time left are on time in about 9 of 10 requests. */
const ON_TIME_FRACTION = 0.85;
/**
 * The same fraction for the least urgent requests. It is lower, so that they leave the larger
 * models to more urgent requests while these models have a queue.
 */
const LEAST_URGENT_FRACTION = 0.3;
/** Lowest rank that counts as least urgent. */
const LEAST_URGENT_RANK = 2;

const computeLimitMs = ({ rank, timeLeftMs }: ModelInput): number =>
  timeLeftMs * (rank >= LEAST_URGENT_RANK ? LEAST_URGENT_FRACTION : ON_TIME_FRACTION);

/**
 * Chooses the model of the first run. This is the smallest model, unless there is time for one run
 * only and the largest model would be on time.
 */
export const chooseFirstModel = (input: ModelInput): string | undefined => {
  const { models, rank, estimateFirstToken } = input;
  const [smallest] = models;
  const largest = models.at(-1);
  if (smallest === undefined || largest === undefined || smallest === largest) return smallest;
  if (rank >= LEAST_URGENT_RANK || !input.hasRoomForLarger) return smallest;
  const limitMs = computeLimitMs(input);
  const largestMs = estimateFirstToken(largest);
  if (largestMs > limitMs) return smallest;
  const isTimeForOneRunOnly = estimateFirstToken(smallest) + largestMs > limitMs;
  return isTimeForOneRunOnly ? largest : smallest;
};

/**
 * Chooses a larger model to replace a model whose answer has just begun: the largest one that would
 * be on time. Returns nothing when the answer is good enough or no larger model would be on time.
 */
export const chooseSecondModel = (input: EscalationInput): string | undefined => {
  const { models, model, confidence, attemptsLeft, hasBudget, rank } = input;
  if (confidence === undefined || confidence >= MIN_CONFIDENCE) return undefined;
  if (attemptsLeft <= 0 || !hasBudget || !input.hasRoomForLarger) return undefined;
  const limitMs = computeLimitMs(input);
  const larger = models.slice(models.indexOf(model) + 1).reverse();
  // A medium model answers few more requests than the smallest, so the least urgent skip it.
  const candidates = rank >= LEAST_URGENT_RANK ? larger.slice(0, 1) : larger;
  return candidates.find((candidate) => input.estimateFirstToken(candidate) <= limitMs);
};
