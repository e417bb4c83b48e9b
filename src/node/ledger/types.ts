import { z } from 'zod';

const organisation = z.string();
const requestId = z.string();
const at = z.number();

/** Tokens and cost that one attempt used. */
export const usageSchema = z
  .strictObject({
    model: z.string(),
    version: z.string(),
    inputTokens: z.number().int().min(0),
    outputTokens: z.number().int().min(0),
    cost: z.number().min(0),
  })
  .readonly();

/** The answer to a request, stored for retries and deferred requests. */
export const storedAnswerSchema = z
  .strictObject({
    status: z.number().int(),
    contentType: z.string(),
    headers: z.record(z.string(), z.union([z.string(), z.array(z.string()).readonly()])).optional(),
    /** The body in base64. */
    body: z.string(),
    model: z.string(),
    version: z.string(),
  })
  .readonly();

/** A deferred request as stored in the ledger. */
export const storedRequestSchema = z
  .strictObject({ path: z.string(), headers: z.record(z.string(), z.string()), body: z.string() })
  .readonly();

/** One incarnation of a process. */
export const ownerSchema = z
  .strictObject({ node: z.string(), incarnation: z.number().int() })
  .readonly();

/** The report on one attempt after its end. */
export const attemptReportSchema = z
  .strictObject({
    attempt: z.number().int().min(0),
    agent: z.string(),
    incarnation: z.number().int(),
    model: z.string(),
    version: z.string(),
    outcome: z.enum(['ran', 'never', 'unknown']),
    /**
     * Absent if the reporter does not know the usage. The usage of the other reporter counts then.
     */
    usage: usageSchema.optional(),
  })
  .readonly();

/** The error of a request that ended without an answer. */
export const storedErrorSchema = z
  .strictObject({ type: z.string(), message: z.string(), step: z.string() })
  .readonly();

const claimFields = { key: z.string(), bodyHash: z.string() } as const;

const intentFields = {
  attempt: z.number().int().min(0),
  agent: z.string(),
  incarnation: z.number().int(),
  model: z.string(),
  version: z.string(),
} as const;

const bindSession = z.strictObject({
  type: z.literal('bindSession'),
  organisation,
  session: z.string(),
  model: z.string(),
  version: z.string(),
  at,
});

const claim = z.strictObject({
  type: z.literal('claim'),
  organisation,
  ...claimFields,
  requestId,
  owner: ownerSchema,
  at,
});

const intent = z.strictObject({
  type: z.literal('intent'),
  organisation,
  requestId,
  ...intentFields,
  owner: ownerSchema,
  at,
});

const report = z.strictObject({
  type: z.literal('report'),
  organisation,
  requestId,
  report: attemptReportSchema,
  /** The entry that runs the request. */
  owner: ownerSchema,
  at,
});

const settle = z.strictObject({
  type: z.literal('settle'),
  organisation,
  requestId,
  owner: ownerSchema,
  outcome: z.enum(['ran', 'not_run', 'unknown']),
  reports: z.array(attemptReportSchema).readonly(),
  answer: storedAnswerSchema.optional(),
  error: storedErrorSchema.optional(),
  at,
});

const takeOver = z.strictObject({
  type: z.literal('takeOver'),
  organisation,
  requestId,
  owner: ownerSchema,
  at,
});

const defer = z.strictObject({
  type: z.literal('defer'),
  organisation,
  requestId,
  session: z.string(),
  idempotent: z.boolean(),
  request: storedRequestSchema,
  claim: z.strictObject(claimFields).readonly().optional(),
  at,
});

const take = z.strictObject({
  type: z.literal('take'),
  owner: ownerSchema,
  /**
   * Unsettled requests that the owner knows. Any other running request of the owner is handed out
   * again.
   */
  holds: z.array(z.string()).readonly(),
  limit: z.number().int().positive(),
  at,
});

const release = z.strictObject({
  type: z.literal('release'),
  organisation,
  requestId,
  owner: ownerSchema,
  reports: z.array(attemptReportSchema).readonly(),
  /** Earliest time at which the request is handed out again. */
  notBefore: z.number(),
  at,
});

const endIncarnation = z.strictObject({
  type: z.literal('endIncarnation'),
  node: z.string(),
  /** All incarnations of the node below this one have ended. */
  below: z.number().int(),
  at,
});

const expire = z.strictObject({ type: z.literal('expire'), at });

/** The commands of a `ledger` group. */
export const ledgerCommandSchema = z.discriminatedUnion('type', [
  bindSession,
  claim,
  intent,
  report,
  settle,
  takeOver,
  defer,
  take,
  release,
  endIncarnation,
  expire,
]);

/** A command of a `ledger` group. */
export type LedgerCommand = Readonly<z.infer<typeof ledgerCommandSchema>>;
/** Tokens and cost that one attempt used. */
export type Usage = z.infer<typeof usageSchema>;
/** The answer to a request, stored for retries and deferred requests. */
export type StoredAnswer = z.infer<typeof storedAnswerSchema>;
/** A deferred request as stored in the ledger. */
export type StoredRequest = z.infer<typeof storedRequestSchema>;
/** The error of a request that ended without an answer. */
export type StoredError = z.infer<typeof storedErrorSchema>;
/** One incarnation of a process. */
export type Owner = z.infer<typeof ownerSchema>;
/** The report on one attempt after its end. */
export type AttemptReport = z.infer<typeof attemptReportSchema>;

/** The ledger record of an attempt. */
export interface AttemptRecord {
  readonly attempt: number;
  readonly agent: string;
  readonly incarnation: number;
  readonly model: string;
  readonly version: string;
  /** `open` until the first report. `never`: the attempt has not run and never will. */
  readonly state: 'open' | 'ran' | 'never' | 'unknown';
  /** The first reported usage, which is the attempt's line on the bill. */
  readonly usage?: Usage;
}

/** The ledger record of a request. */
export interface RequestRecord {
  readonly requestId: string;
  readonly organisation: string;
  readonly state: 'queued' | 'running' | 'done' | 'failed' | 'unknown' | 'not_run';
  readonly attempts: readonly AttemptRecord[];
  readonly owner?: Owner;
  readonly key?: string;
  readonly answer?: StoredAnswer;
  readonly error?: StoredError;
  /** Present on deferred requests. */
  readonly session?: string;
  readonly request?: StoredRequest;
  readonly idempotent?: boolean;
  readonly notBefore?: number;
  /**
   * How often a deferred request was handed out. Each run uses its own range of attempt numbers.
   */
  readonly takes?: number;
  readonly at: number;
  readonly settledAt?: number;
}

/** The bill of one request, with one usage line per attempt that ran. */
export interface Bill {
  readonly requestId: string;
  readonly organisation: string;
  readonly usage: readonly Usage[];
  readonly cost: number;
  readonly at: number;
  /** Whether the request is settled and every attempt that may have run has a usage line. */
  readonly final: boolean;
}

/** The sum of the bills of one hour that are no longer kept individually. */
export interface BillTotal {
  readonly organisation: string;
  readonly model: string;
  readonly version: string;
  /** Start of the hour in milliseconds. */
  readonly hour: number;
  readonly requests: number;
  readonly inputTokens: number;
  readonly outputTokens: number;
  readonly cost: number;
}

/** The results of the commands of a `ledger` group. */
export type LedgerResult =
  | { readonly type: 'bound'; readonly model: string; readonly version: string }
  | { readonly type: 'claimed'; readonly requestId: string }
  | { readonly type: 'known'; readonly record: RequestRecord; readonly isOwnerGone: boolean }
  | { readonly type: 'keyConflict' }
  | { readonly type: 'keyExpired' }
  | { readonly type: 'recorded'; readonly first: boolean; readonly differs?: boolean }
  | { readonly type: 'settled'; readonly first: boolean; readonly state: RequestRecord['state'] }
  | { readonly type: 'taken'; readonly records: readonly RequestRecord[] }
  | { readonly type: 'refused'; readonly reason: string };
