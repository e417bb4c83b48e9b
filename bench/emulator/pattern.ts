import { readFileSync } from 'node:fs';
import { parse } from 'jsonc-parser';
import { z } from 'zod';

const model = z.strictObject({
  name: z.string(),
  /** Price of 1,000 generated tokens. */
  cost: z.number(),
  /** Factor applied to the prefill time of a prompt. */
  pace: z.number(),
  /** Requests with a difficulty below this value get a good answer. */
  quality: z.number(),
});

const task = z.strictObject({
  name: z.string(),
  /** Requests per second at a load of 1. */
  perSecond: z.number(),
  rank: z.number().int(),
  /** Number of shared prompt prefixes, mean length, and standard deviation of its logarithm. */
  beginnings: z.number().int(),
  sharedTokens: z.number(),
  sharedSpread: z.number(),
  ownTokens: z.number(),
  ownSpread: z.number(),
  answerTokens: z.number(),
  answerSpread: z.number(),
  targetMs: z.number(),
  deadlineMs: z.number(),
  /** Longest pause between two events of a stream that is on time, if any. */
  gapTargetMs: z.number().optional(),
  /** Changes of the rate: from `at`, in seconds, it is `factor` times `perSecond`. */
  changes: z.array(z.strictObject({ at: z.number(), factor: z.number() })).optional(),
  /** Benefit of an answer to a request of mean size, in time and late. */
  worth: z.number(),
  lateWorth: z.number(),
});

const patternSchema = z.strictObject({
  name: z.string(),
  seconds: z.number(),
  gateways: z.number().int(),
  endpoints: z.number().int(),
  zones: z.number().int(),
  organisations: z.number().int(),
  engine: z.strictObject({
    slots: z.number().int(),
    cacheTokens: z.number(),
    stepMs: z.number(),
    stepMsPerSlot: z.number(),
    readTokensPerMs: z.number(),
    /** Attention time per million token pairs, in milliseconds. */
    pairsMsPerMillion: z.number(),
    chunkTokens: z.number().int(),
    tokensPerEvent: z.number().int(),
    /** Relative speeds, repeated over the engines in their order; all 1 if absent. */
    speeds: z.array(z.number().positive()).min(1).optional(),
    /**
     * Momentary slow-downs: during each period, an engine is slower by the factor with this
     * probability.
     */
    slowdowns: z
      .strictObject({ probability: z.number(), factor: z.number(), periodMs: z.number() })
      .optional(),
  }),
  models: z.array(model).min(1),
  tasks: z.array(task).min(1),
  /**
   * A burst multiplies the load for some seconds. A hot organisation sends a multiple of its share.
   */
  burst: z.strictObject({ at: z.number(), seconds: z.number(), factor: z.number() }).optional(),
  /** Bursts of single tasks. */
  bursts: z
    .array(
      z.strictObject({ task: z.string(), at: z.number(), seconds: z.number(), factor: z.number() }),
    )
    .optional(),
  hotOrganisation: z.number().optional(),
  /** Second from which the hot organisation sends more; from the start when absent. */
  hotFrom: z.number().optional(),
  /** From this second on, only some of the endpoints accept new requests. */
  stepDown: z.strictObject({ at: z.number(), endpoints: z.number().int() }).optional(),
  /** The callers of the first organisation return this often after refusals, and how soon. */
  retryAbuse: z.strictObject({ returns: z.number().int(), delayMs: z.number() }).optional(),
  /** Callers give up after this fraction of the limit that they send. */
  patience: z.number().optional(),
  /** Age of the reports from other gateways when they take effect. */
  viewDelayMs: z.number().optional(),
  /** Second at which the engine with the most prefill work is lost. */
  engineLossAt: z.number().optional(),
  /** The first engines are slower by a factor for some seconds. */
  slowEngines: z
    .strictObject({ count: z.number(), at: z.number(), seconds: z.number(), factor: z.number() })
    .optional(),
});

/** A load pattern: a deployment and the requests of its callers. */
export type Pattern = Readonly<z.infer<typeof patternSchema>>;

/** A kind of request in a pattern. */
export type PatternTask = Pattern['tasks'][number];

/** A model of a pattern. */
export type PatternModel = Pattern['models'][number];

/** Reads a pattern file. Throws an error that lists the invalid fields. */
export const readPattern = (path: string): Pattern =>
  patternSchema.parse(parse(readFileSync(path, 'utf8')));
