import { z } from 'zod';
import { ledgerCommandSchema, ownerSchema } from '../ledger';
import type { ViewUpdate } from '../view';
import { announcementSchema } from './announcement';

/** `control.register`: a process asks for its incarnation. */
export const registerParams = z.strictObject({
  node: z.string(),
  role: z.enum(['entry', 'agent']),
  zone: z.string(),
  host: z.string(),
  address: z.string(),
  bootId: z.string(),
});

/** `control.renew`: a process renews its lease and asks for what changed. */
export const renewParams = z.strictObject({
  node: z.string(),
  incarnation: z.number().int(),
  revision: z.number().int(),
  /** How long the answer may be held back while nothing changes, in milliseconds. */
  waitMs: z.number().int().min(0).max(5_000),
});

/** `members.report`: a control host tells the leader whose leases it renewed. */
export const membersReportParams = z.strictObject({
  sightings: z.array(
    z.strictObject({
      node: z.string(),
      incarnation: z.number().int(),
      revision: z.number().int(),
      ageMs: z.number().min(0),
    }),
  ),
});

/** `control.acquireLoad`: an agent asks for a permit to load weights from the store. */
export const acquireLoadParams = z.strictObject({
  node: z.string(),
  incarnation: z.number().int(),
  model: z.string(),
  version: z.string(),
});

/** `control.announce`: an agent says what its endpoint serves. */
export const announceParams = z.strictObject({
  node: z.string(),
  incarnation: z.number().int(),
  announcement: announcementSchema,
});

/** `control.leave`: a process ends its registration. */
export const leaveParams = z.strictObject({ node: z.string(), incarnation: z.number().int() });

/** `ledger.propose`: a batch of ledger commands, applied in order. */
export const ledgerProposeParams = z.strictObject({
  commands: z.array(ledgerCommandSchema).max(1_000),
});

/** `ledger.find`: reads one request of an organisation. */
export const ledgerFindParams = z.strictObject({ organisation: z.string(), requestId: z.string() });

/** The answer of `control.register`. */
export interface RegisterAnswer {
  readonly incarnation: number;
  /** How long the process must wait until an older one of its name holds no lease. */
  readonly waitMs: number;
}

/** Data of the error that tells a process that its incarnation is not the current one. */
export interface StaleIncarnation {
  /** True when a newer process took the name, false when the registration expired. */
  readonly isReplaced: boolean;
}

/** What control knows of a registered node. */
export interface NodeState {
  readonly node: string;
  readonly role: string;
  readonly zone: string;
  readonly host: string;
  readonly address: string;
  readonly incarnation: number;
  /** Revision that the node told with its last renewal. */
  readonly revision: number;
  /** Milliseconds until the node's lease has certainly run out. */
  readonly leaseLeftMs: number;
}

/** The answer of `control.acquireLoad`. */
export interface LoadPermit {
  readonly isGranted: boolean;
  readonly waitMs: number;
}

/** The answer of `control.renew`. */
export interface RenewAnswer {
  readonly term: number;
  /** Duration of the lease in milliseconds, counted from when the renewal was sent. */
  readonly leaseMs: number;
  readonly update: ViewUpdate;
}

const modelTarget = z.strictObject({
  kind: z.literal('model'),
  model: z.string(),
  version: z.string(),
});

const serviceTarget = z.strictObject({ kind: z.literal('service'), service: z.string() });

/** `POST /attempts`: an entry starts an attempt at an agent; the answer is a stream of frames. */
export const attemptSchema = z
  .strictObject({
    requestId: z.string(),
    attempt: z.number().int().min(0),
    organisation: z.string(),
    /** The agent's incarnation. */
    incarnation: z.number().int(),
    entry: ownerSchema,
    endpoint: z.string(),
    target: z.discriminatedUnion('kind', [modelTarget, serviceTarget]),
    class: z.enum(['urgent', 'normal', 'deferrable']),
    weight: z.number().positive(),
    deadlineMs: z.number().positive(),
    method: z.string(),
    path: z.string(),
    headers: z.record(z.string(), z.union([z.string(), z.array(z.string()).readonly()])),
    /** The body in base64. */
    body: z.string(),
  })
  .readonly();

/** An attempt of a request at one endpoint. */
export type AttemptRequest = z.infer<typeof attemptSchema>;

/** `attempt.cancel` and `attempt.refuse` name an attempt and the agent's incarnation. */
export const attemptNameParams = z
  .strictObject({
    requestId: z.string(),
    attempt: z.number().int().min(0),
    incarnation: z.number().int(),
  })
  .readonly();

/** `attempt.confirm`: the entry has the frames below `upTo`, or all and has settled. */
export const attemptConfirmParams = z.strictObject({
  items: z
    .array(
      z.strictObject({
        requestId: z.string(),
        attempt: z.number().int().min(0),
        incarnation: z.number().int(),
        upTo: z.number().int().optional(),
      }),
    )
    .max(1_000)
    .readonly(),
});

/** Names an attempt at one incarnation of its agent. */
export type AttemptName = z.infer<typeof attemptNameParams>;
/** A confirmation of an attempt, whole or up to a frame. */
export type AttemptConfirmation = z.infer<typeof attemptConfirmParams>['items'][number];

/** Tokens that one attempt used, as the engine reported them or the agent counted them. */
export interface TokenCounts {
  readonly inputTokens: number;
  readonly outputTokens: number;
}

/** The answer of `attempt.cancel` and `attempt.refuse`. */
export interface AttemptEnd {
  readonly type: 'ended';
  /** `never` is a tombstone; `unknown` also stands for another incarnation. */
  readonly state: 'never' | 'ran' | 'unknown';
  readonly counts?: TokenCounts;
}

/** Headers that pass between a caller and a plain service. */
export type ForwardedHeaders = Readonly<Record<string, string | readonly string[]>>;

/** The error of an attempt that failed. */
export interface FrameError {
  readonly type: string;
  readonly message: string;
  readonly step: string;
  readonly outcome: 'not_run' | 'unknown' | 'ran';
}

/** What a numbered piece of an answer carries. */
export type FrameContent =
  | {
      readonly type: 'head';
      readonly status: number;
      readonly contentType: string;
      readonly headers?: ForwardedHeaders;
    }
  | { readonly type: 'data'; readonly data: string }
  | ({ readonly type: 'end' } & TokenCounts)
  | { readonly type: 'failed'; readonly error: FrameError; readonly counts?: TokenCounts };

/** A numbered piece of an answer, with the name of its attempt. */
export type NumberedFrame = FrameContent & { readonly index: number; readonly name: string };

/** One line of JSON in the stream of an answer. Keep-alives carry no number. */
export type Frame = NumberedFrame | { readonly type: 'keepAlive' };

/** Formats the name of an attempt. */
export const formatAttemptName = (requestId: string, attempt: number): string =>
  `${requestId}.${attempt}`;
