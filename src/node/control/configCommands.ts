import { z } from 'zod';
import { inventorySchema, type Inventory } from '../inventory';
import type { Announcement } from '../shared';
import type { Rollout, Withdrawal } from '../view';
import type { RolloutChange } from './rolloutActions';

const changeId = z.string().min(1).max(128);

/** Commands of the `config` group. */
export type ConfigCommand =
  | {
      readonly type: 'putInventory';
      readonly base: number;
      readonly changeId: string;
      readonly inventory: Inventory;
    }
  | {
      readonly type: 'withdraw';
      readonly base: number;
      readonly changeId: string;
      readonly withdrawal: Withdrawal;
    }
  | {
      readonly type: 'restore';
      readonly base: number;
      readonly changeId: string;
      readonly model: string;
      readonly version: string;
    }
  | {
      readonly type: 'setRollout';
      readonly base: number;
      readonly changeId: string;
      readonly rollout: Rollout;
    }
  /** Advances a roll-out, unless it has changed since it was judged. */
  | { readonly type: 'advanceRollout'; readonly from: Rollout; readonly to: Rollout }
  | {
      readonly type: 'changeRollout';
      readonly base: number;
      readonly changeId: string;
      readonly change: RolloutChange;
    }
  | {
      readonly type: 'register';
      readonly node: string;
      readonly role: string;
      readonly zone: string;
      readonly host: string;
      readonly address: string;
      readonly bootId: string;
    }
  | {
      readonly type: 'announce';
      readonly node: string;
      readonly incarnation: number;
      readonly announcement: Announcement;
    }
  | { readonly type: 'leave'; readonly node: string; readonly incarnation: number };

/** Results of the commands of the `config` group. */
export type ConfigResult =
  | { readonly type: 'accepted'; readonly revision: number; readonly inventoryRevision: number }
  | { readonly type: 'conflict'; readonly winner: string; readonly inventoryRevision: number }
  | { readonly type: 'refused'; readonly reason: string }
  /** The change id has already been used for another change. */
  | { readonly type: 'reused'; readonly changeId: string }
  /** The change is based on a revision whose results are no longer kept. */
  | { readonly type: 'expired'; readonly oldestBase: number }
  | {
      readonly type: 'registered';
      readonly incarnation: number;
      /** Whether an older process of this name at another address may still hold a lease. */
      readonly mayOverlap: boolean;
    }
  | { readonly type: 'stale'; readonly incarnation: number }
  | { readonly type: 'done'; readonly revision: number };

/** Registration of a process. */
export interface NodeRecord {
  readonly node: string;
  readonly role: string;
  readonly zone: string;
  readonly host: string;
  readonly address: string;
  readonly bootId: string;
  readonly incarnation: number;
  /** Whether an older process of this name at another address may still hold a lease. */
  readonly mayOverlap: boolean;
}

/** Schema of the body of `PUT /admin/inventory`. */
export const putInventorySchema = z
  .strictObject({ base: z.number().int().min(0), changeId, inventory: inventorySchema })
  .readonly();
