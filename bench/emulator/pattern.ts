import { readFileSync } from 'node:fs';
import { parse } from 'jsonc-parser';
import { z } from 'zod';

const model = z.strictObject({
  name: z.string(),
  /** Price of 1,000 generated tokens. */
  cost: z.number(),
  /** Factor on the time of reading a prompt. */
  pace: z.number(),
  /** Requests of a hardness below this get a good answer. */
  quality: z.number(),
});

const task = z.strictObject({
  name: z.string(),
  /** Requests a second at a load of 1. */
  perSecond: z.number(),
  rank: z.number().int(),
  /** Number of shared beginnings, their mean length, and the spread of its logarithm. */
  beginnings: z.number().int(),
  sharedTokens: z.number(),
  sharedSpread: z.number(),
  ownTokens: z.number(),
  ownSpread: z.number(),
  answerTokens: z.number(),
  answerSpread: z.number(),
  targetMs: z.number(),
  deadlineMs: z.number(),
  /** Benefit of an answer of mean size in time, and late. */
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
    /** Time of a million pairs of tokens that attend to each other, in milliseconds. */
    pairsMsPerMillion: z.number(),
    chunkTokens: z.number().int(),
    tokensPerEvent: z.number().int(),
  }),
  models: z.array(model).min(1),
  tasks: z.array(task).min(1),
  /** A burst multiplies the load for some seconds; a hot organisation sends many times its part. */
  burst: z.strictObject({ at: z.number(), seconds: z.number(), factor: z.number() }).optional(),
  hotOrganisation: z.number().optional(),
});

/** A load pattern: a deployment and what its callers send. */
export type Pattern = Readonly<z.infer<typeof patternSchema>>;

/** A kind of work of a pattern. */
export type PatternTask = Pattern['tasks'][number];

/** A model of a pattern. */
export type PatternModel = Pattern['models'][number];

/** Reads a pattern file; throws with the place of the first fault. */
export const readPattern = (path: string): Pattern =>
  patternSchema.parse(parse(readFileSync(path, 'utf8')));
