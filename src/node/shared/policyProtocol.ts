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

/**
 * `policy.exchange`: an entry reports its demand and observations and receives its share of each
 * cap.
 */
export const policyExchangeParams = z
  .strictObject({
    node: z.string(),
    incarnation: z.number().int(),
    demands: z.record(z.string(), demandSchema),
    /**
     * Observations of this entry. Cells are sent as totals, so a repeated report changes nothing.
     */
    cells: z.array(z.strictObject({ name: cellNameSchema, tally: tallySchema }).readonly()),
    rollouts: z.array(rolloutReportSchema),
  })
  .readonly();

/** The parameters of `policy.exchange`. */
export type PolicyExchange = z.infer<typeof policyExchangeParams>;

/** The answer of `policy.exchange`. */
export interface PolicyAnswer {
  /** Changes when another control host takes over. The entry then sends all cells again. */
  readonly epoch: string;
  readonly grants: Readonly<Record<string, Grant>>;
  /** How long the grants are valid, in milliseconds from the time the exchange was sent. */
  readonly lifetimeMs: number;
  /** This entry's share of the permitted rate of false roll-out halts. */
  readonly falseBrakeRate: number;
  /** Observations of the other entries for cells that have changed. */
  readonly estimates: readonly Omit<CellTally, 'at'>[];
}
