// Load pattern: easy and hard requests mixed, whose hardness nobody tells beforehand; a small model
// answers the easy ones at a tenth of the price and says how sure it is before its first token. Long
// prompts take most of the time to a good first token, so that a run may leave no time for another.

/** Predicts a model's first token at the best endpoint for it, in milliseconds; infinite where none is. */
export type EstimateFirstToken = (model: string) => number;

/** What is known of a request when a model has to be named. */
export interface ModelInput {
  /** Models that may answer, smallest first. */
  readonly models: readonly string[];
  /** Milliseconds left until the answer would be late. */
  readonly timeLeftMs: number;
  /** Urgency of the request, 0 is the most urgent. */
  readonly rank: number;
  readonly estimateFirstToken: EstimateFirstToken;
}

/** What is known when a model's answer begins. */
export interface EscalationInput extends ModelInput {
  readonly model: string;
  /** The model's own opinion of its answer, 0 to 100; absent when it has none. */
  readonly confidence: number | undefined;
  /** Attempts that the route still allows. */
  readonly attemptsLeft: number;
  /** Whether the budget of repeated work allows another run. */
  readonly hasBudget: boolean;
}

/** Below this opinion a small model's answers are mostly not good enough; from trials on both sites. */
const MIN_CONFIDENCE = 60;
/** Part of the time left within which a prediction is in time nine times of ten; from logged days. */
const ON_TIME_FRACTION = 0.85;
/** The same for the least urgent, which leave the larger models to the others as they queue; emulator. */
const LEAST_URGENT_FRACTION = 0.3;
/** Ranks from this one on are the least urgent. */
const LEAST_URGENT_RANK = 2;

const computeLimitMs = ({ rank, timeLeftMs }: ModelInput): number =>
  timeLeftMs * (rank >= LEAST_URGENT_RANK ? LEAST_URGENT_FRACTION : ON_TIME_FRACTION);

/**
 * Chooses the model of the first run: the smallest, unless only one run is in time and the largest
 * model's is.
 */
export const chooseFirstModel = (question: ModelInput): string | undefined => {
  const { models, rank, estimateFirstToken } = question;
  const [smallest] = models;
  const largest = models.at(-1);
  if (smallest === undefined || largest === undefined || smallest === largest) return smallest;
  if (rank >= LEAST_URGENT_RANK) return smallest;
  const limitMs = computeLimitMs(question);
  const largestMs = estimateFirstToken(largest);
  if (largestMs > limitMs) return smallest;
  const isOnlyOneInTime = estimateFirstToken(smallest) + largestMs > limitMs;
  return isOnlyOneInTime ? largest : smallest;
};

/**
 * Chooses the model that shall answer instead of one whose answer has just begun: the largest that is
 * in time, or none when the answer is good enough or nothing better would be in time.
 */
export const chooseSecondModel = (question: EscalationInput): string | undefined => {
  const { models, model, confidence, attemptsLeft, hasBudget, rank } = question;
  if (confidence === undefined || confidence >= MIN_CONFIDENCE) return undefined;
  if (attemptsLeft <= 0 || !hasBudget) return undefined;
  const limitMs = computeLimitMs(question);
  const larger = models.slice(models.indexOf(model) + 1).reverse();
  // A model in between answers little more than the smallest, so the least urgent do without it.
  const candidates = rank >= LEAST_URGENT_RANK ? larger.slice(0, 1) : larger;
  return candidates.find((candidate) => question.estimateFirstToken(candidate) <= limitMs);
};
