import { z } from 'zod';

const organisation = z.string();
const at = z.number();

/** Tokens and time that one attempt used. */
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
  key: z.string(),
  bodyHash: z.string(),
  requestId: z.string(),
  at,
});

const intent = z.strictObject({
  type: z.literal('intent'),
  organisation,
  requestId: z.string(),
  attempt: z.number().int(),
  agent: z.string(),
  incarnation: z.number().int(),
  model: z.string(),
  version: z.string(),
  at,
});

const settle = z.strictObject({
  type: z.literal('settle'),
  organisation,
  requestId: z.string(),
  outcome: z.enum(['ran', 'not_run', 'unknown']),
  usage: z.array(usageSchema).readonly(),
  answer: storedAnswerSchema.optional(),
  reporter: z.enum(['entry', 'agent']),
  at,
});

const defer = z.strictObject({
  type: z.literal('defer'),
  organisation,
  requestId: z.string(),
  session: z.string(),
  idempotent: z.boolean(),
  request: storedRequestSchema,
  at,
});

/** The commands of a `ledger` group. */
export const ledgerCommandSchema = z.discriminatedUnion('type', [
  bindSession,
  claim,
  intent,
  settle,
  defer,
]);

/** A command of a `ledger` group. */
export type LedgerCommand = Readonly<z.infer<typeof ledgerCommandSchema>>;
/** Tokens and time that one attempt used. */
export type Usage = z.infer<typeof usageSchema>;
/** The answer of a request as it is kept. */
export type StoredAnswer = z.infer<typeof storedAnswerSchema>;
/** A request as it is kept for deferred work. */
export type StoredRequest = z.infer<typeof storedRequestSchema>;

/** What the ledger knows of a request. */
export interface RequestRecord {
  readonly requestId: string;
  readonly organisation: string;
  readonly state: 'queued' | 'running' | 'done' | 'failed' | 'unknown' | 'not_run';
  readonly answer?: StoredAnswer;
  readonly session?: string;
  readonly request?: StoredRequest;
  readonly idempotent?: boolean;
  readonly at: number;
}

/** One line of the bills. */
export interface Bill {
  readonly requestId: string;
  readonly organisation: string;
  readonly usage: readonly Usage[];
  readonly cost: number;
  readonly at: number;
}

/** The answers of a `ledger` group. */
export type LedgerResult =
  | { readonly type: 'bound'; readonly model: string; readonly version: string }
  | { readonly type: 'claimed'; readonly requestId: string }
  | { readonly type: 'known'; readonly record: RequestRecord }
  | { readonly type: 'keyConflict' }
  | { readonly type: 'recorded'; readonly first: boolean }
  | { readonly type: 'refused'; readonly reason: string };
