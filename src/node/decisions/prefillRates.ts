import { createEndpointSpeeds, type EndpointSpeeds } from './endpointSpeeds';

// Load pattern: models of different speeds share one pool of endpoints of different speeds, and no
// configuration states these speeds. The delay of a first token is the prefill time of the prompt
// plus the wait before it.

/** A model with its price, from which its speed is estimated before any measurement. */
export interface PricedModel {
  readonly name: string;
  readonly cost: number;
}

/** Size of a prompt and of the part that needs prefill at an endpoint. */
export interface PromptPrefill {
  /** Tokens that the endpoint has not cached. */
  readonly uncachedTokens: number;
  /** Tokens of the whole prompt. */
  readonly promptTokens: number;
}

/** An endpoint's incarnation at a time; `now` is monotonic time in milliseconds. */
export interface EndpointAtTime {
  readonly incarnation: string;
  readonly now: number;
}

/** Prefill rate of each model in a pool, with the relative speed of its endpoints. */
export interface PrefillRates {
  /**
   * Estimates the prefill time at an endpoint in milliseconds, without competing prefill work:
   * the pool's rate times the endpoint's factor.
   */
  readonly estimate: (model: string, prefill: PromptPrefill, endpoint: EndpointAtTime) => number;
  /** Records the delay of a first token that had no other prefill work ahead of it. */
  readonly record: (
    model: string,
    prefill: PromptPrefill,
    delayMs: number,
    endpoint: EndpointAtTime,
  ) => void;
}

/** Prefill time per token of the cheapest model before any measurement. */
const INITIAL_MS_PER_TOKEN = 0.006;
/** Exponent below 1, since the price per token grows faster than the prefill time. */
const COST_EXPONENT = 0.85;
/** Below this size the delay is dominated by decode steps and the network, not by prefill. */
const MIN_SAMPLE_TOKENS = 1_500;
/** Unknown waits only increase a delay, so samples below the rate get a larger weight. */
const DECREASE_WEIGHT = 0.2;
const INCREASE_WEIGHT = 0.05;
/**
 * Context length at which the attention of a token costs as much as its other work. A model with 70
 * billion weights needs 2 operations per weight. Attention needs 4 operations per context token for
 * each of 80 layers with a width of 8,192.
 */
const ATTENTION_TOKENS = 53_000;

/** Computes prefill work, in tokens at the start of a prompt; later tokens cost more. */
export const computePrefillWork = ({ uncachedTokens, promptTokens }: PromptPrefill): number => {
  const contextTokens = Math.max(0, promptTokens - uncachedTokens / 2);
  return uncachedTokens * (1 + contextTokens / ATTENTION_TOKENS);
};

/** Creates the prefill rates of the models of a pool. */
export const createPrefillRates = (
  models: readonly PricedModel[],
  speeds: EndpointSpeeds = createEndpointSpeeds(),
): PrefillRates => {
  const cheapest = Math.min(...models.map(({ cost }) => cost), Infinity);
  const rates = new Map(
    models.map(({ name, cost }) => [
      name,
      INITIAL_MS_PER_TOKEN * (cheapest > 0 ? (cost / cheapest) ** COST_EXPONENT : 1),
    ]),
  );
  const readRate = (model: string): number => rates.get(model) ?? INITIAL_MS_PER_TOKEN;
  return {
    estimate: (model, prefill, { incarnation, now }) =>
      readRate(model) * computePrefillWork(prefill) * speeds.readFactor(incarnation, now),
    record: (model, prefill, delayMs, { incarnation, now }) => {
      if (prefill.uncachedTokens < MIN_SAMPLE_TOKENS) return;
      const known = readRate(model);
      const unitMs = delayMs / computePrefillWork(prefill);
      // What the factor explains must not move the pool's rate towards the fastest endpoints.
      const sample = unitMs / speeds.readFactor(incarnation, now);
      speeds.record({ endpoint: incarnation, kind: model, unitMs }, now);
      const weight = sample < known ? DECREASE_WEIGHT : INCREASE_WEIGHT;
      rates.set(model, known + weight * (sample - known));
    },
  };
};
