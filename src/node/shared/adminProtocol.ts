import { z } from 'zod';
import type { Inventory } from '../inventory';
import type { ReplicaStatus } from '../replication';
import type { NodeState } from './protocol';
import type { Member, Rollout, Withdrawal } from '../view';

const changeId = z.string().min(1).max(128);
const base = z.number().int().min(0).optional();
const name = z.string().min(1).max(64);
const reason = z.string().max(256).default('');

/** `POST /admin/withdraw`: stops sending new work to a version. */
export const withdrawBody = z
  .strictObject({ changeId, base, model: name, version: name, reason })
  .readonly();

/** `POST /admin/restore`: allows new work for a withdrawn version again. */
export const restoreBody = z
  .strictObject({ changeId, base, model: name, version: name })
  .readonly();

/** The actions of an operator on a roll-out. */
export const rolloutActionSchema = z.enum(['start', 'pause', 'resume', 'abort']);

/**
 * `POST /admin/rollout`: changes the roll-out of a model. The action `start` requires `version`.
 */
export const rolloutBody = z
  .strictObject({
    changeId,
    base,
    action: rolloutActionSchema,
    model: name,
    version: name.optional(),
    reason,
  })
  .readonly();

/** The periods over which bills are summed. */
export const billPeriodSchema = z.enum(['hour', 'day', 'month', 'all']);

/** `GET /admin/bills`: filters the bills to list. Each request has one bill. */
export const billFilter = z
  .strictObject({
    organisation: z.string().optional(),
    model: z.string().optional(),
    /** Start time in ISO 8601, inclusive. */
    from: z.iso.datetime({ offset: true }).or(z.iso.date()).optional(),
    /** End time in ISO 8601, exclusive. */
    to: z.iso.datetime({ offset: true }).or(z.iso.date()).optional(),
  })
  .readonly();

/** `GET /admin/bills/totals`: filters the bills to sum and selects the period. */
export const billsQuery = z
  .strictObject({ ...billFilter.unwrap().shape, period: billPeriodSchema.default('day') })
  .readonly();

/** An action of an operator on a roll-out. */
export type RolloutAction = z.infer<typeof rolloutActionSchema>;
/** A period over which bills are summed. */
export type BillPeriod = z.infer<typeof billPeriodSchema>;
/** A filter for bills. */
export type BillFilter = z.infer<typeof billFilter>;
/** A filter for bills with the period over which they are summed. */
export type BillsQuery = z.infer<typeof billsQuery>;

/** The answer to an accepted change. */
export interface AcceptedChange {
  readonly type: 'accepted';
  /** Revision of the configuration that is distributed to the nodes. */
  readonly revision: number;
  readonly inventoryRevision: number;
}

/** The answer of `GET /admin/inventory`. */
export interface AdminInventory {
  /** Revision to use as `base` of the next inventory change. */
  readonly revision: number;
  readonly inventory: Inventory | null;
}

/** The answer of `GET /admin/status`. */
export interface AdminStatus {
  /** The control host that answered. */
  readonly host: string;
  /** Whether a quorum has confirmed that this host's state is current. */
  readonly isConfirmed: boolean;
  readonly revision: number;
  readonly inventoryRevision: number;
  readonly leaseMs: number;
  readonly groups: readonly ReplicaStatus[];
  readonly nodes: readonly NodeState[];
  readonly members: readonly Member[];
  readonly withdrawals: readonly Withdrawal[];
  readonly rollouts: readonly Rollout[];
}

/** A sum of bills per period, organisation, model and version. */
export interface BillRow {
  readonly organisation: string;
  /** Start of the period in UTC, or `all`. */
  readonly period: string;
  readonly model: string;
  readonly version: string;
  /** Number of requests whose last run was on this model and version. */
  readonly requests: number;
  readonly inputTokens: number;
  readonly outputTokens: number;
  /** Cost in the currency unit of the prices in the inventory. */
  readonly cost: number;
}

/** One decision about a request, as logged by the entry. */
export interface DecisionRecord {
  readonly requestId: string;
  /** Time in ISO 8601. */
  readonly at: string;
  /** `routed`, `refused` or another decision name. */
  readonly decision: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** `entry.explain`: reads the decisions of an entry about a request. */
export const entryExplainParams = z.strictObject({ requestId: z.string().min(1).max(256) });

/** The answer of `entry.explain`, with the bills added by control. */
export interface Explanation {
  readonly requestId: string;
  /** The entry that accepted the request. */
  readonly entry: string;
  readonly decisions: readonly DecisionRecord[];
  readonly bills: readonly BillRow[];
}
