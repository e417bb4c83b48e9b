import { z } from 'zod';
import type { Inventory } from '../inventory';
import type { ReplicaStatus } from '../replication';
import type { NodeState } from './protocol';
import type { Member, Rollout, Withdrawal } from '../view';

const changeId = z.string().min(1).max(128);
const base = z.number().int().min(0).optional();
const name = z.string().min(1).max(64);
const reason = z.string().max(256).default('');

/** `POST /admin/withdraw`: no new work for a version from now on. */
export const withdrawBody = z
  .strictObject({ changeId, base, model: name, version: name, reason })
  .readonly();

/** `POST /admin/restore`: a withdrawn version may take work again. */
export const restoreBody = z
  .strictObject({ changeId, base, model: name, version: name })
  .readonly();

/** What an operator may do to a roll-out. */
export const rolloutActionSchema = z.enum(['start', 'pause', 'resume', 'abort']);

/** `POST /admin/rollout`: changes the roll-out of a model; `start` needs the version. */
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

/** Periods by which bills are summed up. */
export const billPeriodSchema = z.enum(['hour', 'day', 'month', 'all']);

/** `GET /admin/bills`: which bills are listed, one for each request. */
export const billFilter = z
  .strictObject({
    organisation: z.string().optional(),
    model: z.string().optional(),
    /** Time in ISO 8601; earlier bills are left out. */
    from: z.iso.datetime({ offset: true }).or(z.iso.date()).optional(),
    /** Time in ISO 8601; bills from this time on are left out. */
    to: z.iso.datetime({ offset: true }).or(z.iso.date()).optional(),
  })
  .readonly();

/** `GET /admin/bills/totals`: which bills are summed up, and by what. */
export const billsQuery = z
  .strictObject({ ...billFilter.unwrap().shape, period: billPeriodSchema.default('day') })
  .readonly();

/** What an operator may do to a roll-out. */
export type RolloutAction = z.infer<typeof rolloutActionSchema>;
/** A period by which bills are summed up. */
export type BillPeriod = z.infer<typeof billPeriodSchema>;
/** Which bills are listed. */
export type BillFilter = z.infer<typeof billFilter>;
/** Which bills are summed up, and by what. */
export type BillsQuery = z.infer<typeof billsQuery>;

/** The answer to an accepted change. */
export interface AcceptedChange {
  readonly type: 'accepted';
  /** Revision of the configuration that nodes get. */
  readonly revision: number;
  readonly inventoryRevision: number;
}

/** The answer of `GET /admin/inventory`. */
export interface AdminInventory {
  /** Base for the next change of the inventory. */
  readonly revision: number;
  readonly inventory: Inventory | null;
}

/** The answer of `GET /admin/status`. */
export interface AdminStatus {
  /** The control host that answered. */
  readonly host: string;
  /** False when this host could not confirm what it knows with a quorum. */
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

/** A sum of bills. */
export interface BillRow {
  readonly organisation: string;
  /** Start of the period in UTC, or `all`. */
  readonly period: string;
  readonly model: string;
  readonly version: string;
  /** Requests whose last run was on this model and version. */
  readonly requests: number;
  readonly inputTokens: number;
  readonly outputTokens: number;
  /** In the unit of the inventory's prices. */
  readonly cost: number;
}

/** One decision on a request, as the entry logged it. */
export interface DecisionRecord {
  readonly requestId: string;
  /** Time in ISO 8601. */
  readonly at: string;
  /** `routed`, `refused` or another short word. */
  readonly decision: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** `entry.explain`: asks an entry for its decisions on a request. */
export const entryExplainParams = z.strictObject({ requestId: z.string().min(1).max(256) });

/** The answer of `entry.explain` and the part of it that control knows. */
export interface Explanation {
  readonly requestId: string;
  /** The entry that took the request in. */
  readonly entry: string;
  readonly decisions: readonly DecisionRecord[];
  readonly bills: readonly BillRow[];
}
