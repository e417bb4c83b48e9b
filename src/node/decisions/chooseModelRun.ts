// Load pattern: easy and hard requests mixed, whose hardness nobody tells beforehand; a small model
// answers the easy ones at a tenth of the price and says how sure it is before its first token.

/** What is known when a model has to be named. */
export interface ModelQuestion {
  /** Models that may answer, smallest first. */
  readonly models: readonly string[];
  /** Model of the answer that was dropped, if any. */
  readonly dropped: string | undefined;
}

/** What is known when a model's answer begins. */
export interface ConfidenceQuestion {
  readonly models: readonly string[];
  readonly model: string;
  /** The model's own opinion of its answer, 0 to 100; absent when it has none. */
  readonly confidence: number | undefined;
  /** Attempts that the route still allows. */
  readonly attemptsLeft: number;
  /** Whether the budget of repeated work allows another run. */
  readonly hasBudget: boolean;
  /** Milliseconds left until the answer would be late. */
  readonly timeLeftMs: number;
  /** Predicts the time to the first token of the largest model; asked for doubtful answers only. */
  readonly estimateSecondRun: () => number;
  /** Urgency of the request, 0 is the most urgent. */
  readonly rank: number;
}

/** Below this opinion a small model's answers are mostly not good enough; from trials on both sites. */
const CONFIDENCE_FLOOR = 60;
/**
 * Part of the time left that a second run may take to its first token, by rank. Predictions are off
 * both ways, so that one which would just make it is likely late; the less urgent leave the largest
 * model to the others as soon as it has a queue.
 */
const SECOND_RUN_PARTS: readonly number[] = [0.75, 0.75, 0.15];

/** Chooses the model of the next run: the smallest first, the largest after a doubtful answer. */
export const chooseModelRun = ({ models, dropped }: ModelQuestion): string | undefined =>
  dropped === undefined ? models[0] : models.at(-1);

/** Says whether an answer that has just begun shall be dropped for one of the largest model. */
export const isAnswerDoubtful = (question: ConfidenceQuestion): boolean => {
  const { models, model, confidence, attemptsLeft, hasBudget } = question;
  if (confidence === undefined || confidence >= CONFIDENCE_FLOOR) return false;
  const isLargest = model === models.at(-1);
  const part = SECOND_RUN_PARTS[Math.min(question.rank, SECOND_RUN_PARTS.length - 1)]!;
  if (isLargest || attemptsLeft <= 0 || !hasBudget) return false;
  return question.estimateSecondRun() < part * question.timeLeftMs;
};
