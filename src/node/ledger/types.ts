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

/** The answer of a request as it is kept for retries and deferred work. */
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

/** A request as it is kept for deferred work. */
export const storedRequestSchema = z
  .strictObject({ path: z.string(), headers: z.record(z.string(), z.string()), body: z.string() })
  .readonly();

/** One incarnation of a process. */
export const ownerSchema = z
  .strictObject({ node: z.string(), incarnation: z.number().int() })
  .readonly();

/** What is known of one attempt at its end. */
export const attemptReportSchema = z
  .strictObject({
    attempt: z.number().int().min(0),
    agent: z.string(),
    incarnation: z.number().int(),
    model: z.string(),
    version: z.string(),
    outcome: z.enum(['ran', 'never', 'unknown']),
    /** Absent when the reporter does not know it; the other reporter's is taken then. */
    usage: usageSchema.optional(),
  })
  .readonly();

/** Why a request ended without an answer. */
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
  /** Requests that the owner has and has not settled; any other of its own is given again. */
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
  /** The request is not given out before this time. */
  notBefore: z.number(),
  at,
});

const endIncarnation = z.strictObject({
  type: z.literal('endIncarnation'),
  node: z.string(),
  /** Every incarnation of the node below this one is gone. */
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
/** The answer of a request as it is kept. */
export type StoredAnswer = z.infer<typeof storedAnswerSchema>;
/** A request as it is kept for deferred work. */
export type StoredRequest = z.infer<typeof storedRequestSchema>;
/** Why a request ended without an answer. */
export type StoredError = z.infer<typeof storedErrorSchema>;
/** One incarnation of a process. */
export type Owner = z.infer<typeof ownerSchema>;
/** What is known of one attempt at its end. */
export type AttemptReport = z.infer<typeof attemptReportSchema>;

/** An attempt as the ledger knows it. */
export interface AttemptRecord {
  readonly attempt: number;
  readonly agent: string;
  readonly incarnation: number;
  readonly model: string;
  readonly version: string;
  /** `open` until a report; `never` has not run and never will. */
  readonly state: 'open' | 'ran' | 'never' | 'unknown';
  /** The first usage that was reported; it is the attempt's line of the bill. */
  readonly usage?: Usage;
}

/** What the ledger knows of a request. */
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
  /** How often a deferred request was given out; each time has attempt numbers of its own. */
  readonly takes?: number;
  readonly at: number;
  readonly settledAt?: number;
}

/** The bill of one request: one line of usage per attempt that ran. */
export interface Bill {
  readonly requestId: string;
  readonly organisation: string;
  readonly usage: readonly Usage[];
  readonly cost: number;
  readonly at: number;
  /** The request is settled and every attempt that may have run has its line. */
  readonly final: boolean;
}

/** The bills of one hour that are no longer kept one by one. */
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

/** The answers of a `ledger` group. */
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
