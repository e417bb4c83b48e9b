import { z } from 'zod';
import type { CellTally, Grant } from '../decisions';

const tallySchema = z
  .strictObject({
    requests: z.number(),
    errors: z.number(),
    costs: z.number(),
    costSum: z.number(),
    times: z.number(),
    logTimeSum: z.number(),
    logTimeSquares: z.number(),
    scores: z.number(),
    scoreSum: z.number(),
    scoreSquares: z.number(),
    bins: z.array(z.number()).max(64).readonly(),
  })
  .readonly();

const cellNameSchema = z
  .strictObject({
    organisation: z.string(),
    task: z.string(),
    model: z.string(),
    version: z.string(),
    isEscalated: z.boolean(),
  })
  .readonly();

const grantSchema = z
  .strictObject({
    sequence: z.number(),
    requestsPerSecond: z.number().optional(),
    requestBurst: z.number().optional(),
    tokensPerSecond: z.number().optional(),
    tokenBurst: z.number().optional(),
    inFlight: z.number().optional(),
  })
  .readonly();

const demandSchema = z
  .strictObject({
    requestsPerSecond: z.number(),
    tokensPerSecond: z.number(),
    wantedInFlight: z.number(),
    inFlight: z.number(),
    held: grantSchema.optional(),
    applied: z.number(),
  })
  .readonly();

const rolloutCellSchema = z
  .strictObject({
    organisation: z.string(),
    task: z.string(),
    isHighValue: z.boolean(),
    candidate: tallySchema,
    baseline: tallySchema,
  })
  .readonly();

const rolloutReportSchema = z
  .strictObject({
    name: z.string(),
    cells: z.array(rolloutCellSchema).readonly(),
    brake: z.string().optional(),
  })
  .readonly();

/** `policy.exchange`: an entry tells its demand and what it saw, and gets its part of each cap. */
export const policyExchangeParams = z
  .strictObject({
    node: z.string(),
    incarnation: z.number().int(),
    demands: z.record(z.string(), demandSchema),
    /** This entry's own observations, as of now; whole cells, so that a repeat does no harm. */
    cells: z.array(z.strictObject({ name: cellNameSchema, tally: tallySchema }).readonly()),
    rollouts: z.array(rolloutReportSchema),
  })
  .readonly();

/** What an entry sends to `policy.exchange`. */
export type PolicyExchange = z.infer<typeof policyExchangeParams>;

/** The answer of `policy.exchange`. */
export interface PolicyAnswer {
  /** Changes when another control host took over; the entry then sends every cell again. */
  readonly epoch: string;
  readonly grants: Readonly<Record<string, Grant>>;
  /** How long the grants are good, in milliseconds from when the exchange was sent. */
  readonly lifetimeMs: number;
  /** This entry's part of the false halt rate. */
  readonly falseBrakeRate: number;
  /** What the other entries saw of cells that changed. */
  readonly estimates: readonly Omit<CellTally, 'at'>[];
}
