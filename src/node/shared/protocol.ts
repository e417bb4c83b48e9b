import { z } from 'zod';
import { ledgerCommandSchema, ownerSchema } from '../ledger';
import type { ViewUpdate } from '../view';
import { announcementSchema } from './announcement';

/** `control.register`: a process registers and receives its incarnation. */
export const registerParams = z.strictObject({
  node: z.string(),
  role: z.enum(['entry', 'agent']),
  zone: z.string(),
  host: z.string(),
  address: z.string(),
  bootId: z.string(),
});

/** `control.renew`: a process renews its lease and requests configuration changes. */
export const renewParams = z.strictObject({
  node: z.string(),
  incarnation: z.number().int(),
  revision: z.number().int(),
  /** How long the answer may be delayed while nothing changes, in milliseconds. */
  waitMs: z.number().int().min(0).max(5_000),
});

/** `members.report`: a control host reports to the leader the leases that it has renewed. */
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

/** `control.acquireLoad`: an agent requests a permit to load weights from the store. */
export const acquireLoadParams = z.strictObject({
  node: z.string(),
  incarnation: z.number().int(),
  model: z.string(),
  version: z.string(),
});

/** `control.announce`: an agent announces what its endpoint serves. */
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
  /**
   * How long the process must wait until the lease of an older process of the same name expires.
   */
  readonly waitMs: number;
}

/** Data of the error for a process whose incarnation is not the current one. */
export interface StaleIncarnation {
  /**
   * True if a newer process has registered under the name, false if the registration has expired.
   */
  readonly isReplaced: boolean;
}

/** The state of a registered node as known to control. */
export interface NodeState {
  readonly node: string;
  readonly role: string;
  readonly zone: string;
  readonly host: string;
  readonly address: string;
  readonly incarnation: number;
  /** Revision that the node reported with its last renewal. */
  readonly revision: number;
  /** Milliseconds until the node's lease has expired for certain. */
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
  /** Duration of the lease in milliseconds, from the time the renewal was sent. */
  readonly leaseMs: number;
  readonly update: ViewUpdate;
}

const modelTarget = z.strictObject({
  kind: z.literal('model'),
  model: z.string(),
  version: z.string(),
});

const serviceTarget = z.strictObject({ kind: z.literal('service'), service: z.string() });

/** `POST /attempts`: an entry starts an attempt at an agent. The answer is a stream of frames. */
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

/** `attempt.cancel` and `attempt.refuse`: an attempt and the incarnation of its agent. */
export const attemptNameParams = z
  .strictObject({
    requestId: z.string(),
    attempt: z.number().int().min(0),
    incarnation: z.number().int(),
  })
  .readonly();

/**
 * `attempt.confirm`: the entry has received the frames below `upTo`. Without `upTo` it has received
 * all frames and settled the request.
 */
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

/** Identifies an attempt at one incarnation of its agent. */
export type AttemptName = z.infer<typeof attemptNameParams>;
/** A confirmation of an attempt, complete or up to a frame. */
export type AttemptConfirmation = z.infer<typeof attemptConfirmParams>['items'][number];

/** Tokens that one attempt used, as reported by the engine or counted by the agent. */
export interface TokenCounts {
  readonly inputTokens: number;
  readonly outputTokens: number;
}

/** The answer of `attempt.cancel` and `attempt.refuse`. */
export interface AttemptEnd {
  readonly type: 'ended';
  /** `never`: the agent keeps a tombstone. `unknown`: also if the agent has another incarnation. */
  readonly state: 'never' | 'ran' | 'unknown';
  readonly counts?: TokenCounts;
}

/** Headers that are forwarded between a caller and a plain service. */
export type ForwardedHeaders = Readonly<Record<string, string | readonly string[]>>;

/** The error of an attempt that failed. */
export interface FrameError {
  readonly type: string;
  readonly message: string;
  readonly step: string;
  readonly outcome: 'not_run' | 'unknown' | 'ran';
}

/** The content of a numbered frame of an answer. */
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

/** A numbered frame of an answer, with the name of its attempt. */
export type NumberedFrame = FrameContent & { readonly index: number; readonly name: string };

/** One line of JSON in the stream of an answer. Keep-alive frames have no number. */
export type Frame = NumberedFrame | { readonly type: 'keepAlive' };

/** Formats the name of an attempt. */
export const formatAttemptName = (requestId: string, attempt: number): string =>
  `${requestId}.${attempt}`;
