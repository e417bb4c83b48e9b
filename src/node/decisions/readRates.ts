// Load pattern: models of unlike pace behind one pool, whose pace no configuration states; a first
// token's delay is the reading of the prompt plus whatever waited before it.

/** A model with its price, which tells its likely pace before anything was measured. */
export interface PricedModel {
  readonly name: string;
  readonly cost: number;
}

/** Time that each model takes to read one token. */
export interface ReadRates {
  /** Gives milliseconds for one token of the prompt. */
  readonly read: (model: string) => number;
  /** Takes note of the delay of a first token after so many unread tokens. */
  readonly record: (model: string, unreadTokens: number, delayMs: number) => void;
}

/** Pace of the cheapest model before any measurement, in milliseconds a token. */
const FIRST_MS_PER_TOKEN = 0.006;
/** Larger models cost more a token than they are slower. */
const COST_EXPONENT = 0.85;
/** Below this the delay tells of steps and ways, not of reading. */
const SMALLEST_SAMPLE_TOKENS = 1_500;
/** Waiting only ever adds to a delay, so low samples count for much and high ones for little. */
const FALL_WEIGHT = 0.3;
const RISE_WEIGHT = 0.02;

/** Creates rates for the models of a pool. */
export const createReadRates = (models: readonly PricedModel[]): ReadRates => {
  const cheapest = Math.min(...models.map(({ cost }) => cost), Infinity);
  const rates = new Map(
    models.map(({ name, cost }) => [
      name,
      FIRST_MS_PER_TOKEN * (cheapest > 0 ? (cost / cheapest) ** COST_EXPONENT : 1),
    ]),
  );
  return {
    read: (model) => rates.get(model) ?? FIRST_MS_PER_TOKEN,
    record: (model, unreadTokens, delayMs) => {
      if (unreadTokens < SMALLEST_SAMPLE_TOKENS) return;
      const known = rates.get(model) ?? FIRST_MS_PER_TOKEN;
      const sample = delayMs / unreadTokens;
      const weight = sample < known ? FALL_WEIGHT : RISE_WEIGHT;
      rates.set(model, known + weight * (sample - known));
    },
  };
};
