// Load pattern: models of unlike pace behind one pool, whose pace no configuration states; a first
// token's delay is the reading of the prompt plus whatever waited before it.

/** A model with its price, which tells its likely pace before anything was measured. */
export interface PricedModel {
  readonly name: string;
  readonly cost: number;
}

/** How much of a prompt an endpoint has to read. */
export interface PromptPrefill {
  /** Tokens that the endpoint does not hold yet. */
  readonly unreadTokens: number;
  /** Tokens of the whole prompt. */
  readonly promptTokens: number;
}

/** Time that each model takes to read a prompt. */
export interface PrefillRates {
  /** Estimates the milliseconds that reading takes when nothing else is read. */
  readonly estimate: (model: string, reading: PromptPrefill) => number;
  /** Takes note of the delay of a first token before which nothing else was read. */
  readonly record: (model: string, reading: PromptPrefill, delayMs: number) => void;
}

/** Pace of the cheapest model before any measurement, in milliseconds a token. */
const INITIAL_MS_PER_TOKEN = 0.006;
/** Larger models cost more a token than they are slower. */
const COST_EXPONENT = 0.85;
/** Below this the delay tells of steps and ways, not of reading. */
const MIN_SAMPLE_TOKENS = 1_500;
/** Waiting that was not known of only ever adds to a delay, so low samples count for more. */
const DECREASE_WEIGHT = 0.2;
const INCREASE_WEIGHT = 0.05;
/**
 * Length of the text before a token at which attending to it costs as much as all else about the
 * token: 2 operations for each of 70 billion weights, against 4 for each of 80 layers of 8,192.
 */
const ATTENTION_TOKENS = 53_000;

/** Computes the work of reading in tokens at the beginning of a text; later tokens count for more. */
export const computePrefillWork = ({ unreadTokens, promptTokens }: PromptPrefill): number => {
  const before = Math.max(0, promptTokens - unreadTokens / 2);
  return unreadTokens * (1 + before / ATTENTION_TOKENS);
};

/** Creates rates for the models of a pool. */
export const createPrefillRates = (models: readonly PricedModel[]): PrefillRates => {
  const cheapest = Math.min(...models.map(({ cost }) => cost), Infinity);
  const rates = new Map(
    models.map(({ name, cost }) => [
      name,
      INITIAL_MS_PER_TOKEN * (cheapest > 0 ? (cost / cheapest) ** COST_EXPONENT : 1),
    ]),
  );
  const readRate = (model: string): number => rates.get(model) ?? INITIAL_MS_PER_TOKEN;
  return {
    estimate: (model, reading) => readRate(model) * computePrefillWork(reading),
    record: (model, reading, delayMs) => {
      if (reading.unreadTokens < MIN_SAMPLE_TOKENS) return;
      const known = readRate(model);
      const sample = delayMs / computePrefillWork(reading);
      const weight = sample < known ? DECREASE_WEIGHT : INCREASE_WEIGHT;
      rates.set(model, known + weight * (sample - known));
    },
  };
};
