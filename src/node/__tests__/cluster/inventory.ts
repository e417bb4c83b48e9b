import { computeKeyHash } from '../../entry';
import { inventorySchema, type Inventory } from '../../inventory';

/** API keys by organisation. */
export const KEYS = { yard: 'yard-key-0001', rack: 'rack-key-0001' } as const;

/** The organisations of the test inventory. */
export type OrganisationName = keyof typeof KEYS;

/** The model versions that each organisation may use. */
export const ALLOWED: Readonly<Record<OrganisationName, readonly string[]>> = {
  yard: ['small@v1', 'small@v2', 'large@v1'],
  rack: ['small@v1', 'small@v2'],
};

/** Name of the plain service. */
export const SERVICE = 'bookings';

const COSTS = { inputCostPerThousand: 1, outputCostPerThousand: 2, priorLatencyMs: 100 } as const;

/** The differences between the inventories of one test. */
export interface InventoryFlags {
  /** Identifies the inventory: callers of `rack` see a model named `mark-N`. */
  readonly mark: number;
  readonly stableVersion: 'v1' | 'v2';
  readonly isWithdrawn: boolean;
  /** Name of an endpoint in the state `leaving`. */
  readonly leaving?: string;
}

const DEFAULT_FLAGS: InventoryFlags = { mark: 0, stableVersion: 'v1', isWithdrawn: false };
const MARK_PREFIX = 'mark-';

/** Reads the mark from a list of model names. Returns 0 if there is none. */
export const readMark = (models: readonly string[]): number =>
  Math.max(
    0,
    ...models
      .filter((name) => name.startsWith(MARK_PREFIX))
      .map((name) => Number(name.slice(MARK_PREFIX.length))),
  );

const createMarkModel = (mark: number) => ({
  name: `${MARK_PREFIX}${mark}`,
  stableVersion: 'v1',
  versions: [{ name: 'v1' }],
  priorQuality: 0,
  ...COSTS,
});

/** Creates the test inventory. */
export const createClusterInventory = (flags: InventoryFlags = DEFAULT_FLAGS): Inventory =>
  inventorySchema.parse({
    zones: [{ name: 'zone-a', region: 'region-a' }],
    hosts: [{ name: 'agent-1', zone: 'zone-a', address: '127.0.0.1' }],
    models: [
      {
        name: 'small',
        stableVersion: flags.stableVersion,
        versions: [
          { name: 'v1' },
          { name: 'v2', state: flags.isWithdrawn ? 'withdrawn' : 'active' },
        ],
        priorQuality: 0.9,
        ...COSTS,
      },
      {
        name: 'large',
        stableVersion: 'v1',
        versions: [{ name: 'v1' }],
        priorQuality: 0.95,
        ...COSTS,
        outputCostPerThousand: 8,
      },
      createMarkModel(flags.mark),
    ],
    services: [
      {
        name: SERVICE,
        routes: [
          { method: 'GET', path: '/', idempotent: true },
          { method: 'POST', path: '/', idempotent: false },
        ],
      },
    ],
    endpoints:
      flags.leaving === undefined
        ? []
        : [{ name: flags.leaving, host: 'agent-1', state: 'leaving' }],
    organisations: [
      {
        name: 'yard',
        keyHashes: [computeKeyHash(KEYS.yard)],
        models: [{ name: 'small' }, { name: 'large' }],
        services: [SERVICE],
      },
      {
        name: 'rack',
        keyHashes: [computeKeyHash(KEYS.rack)],
        models: [{ name: 'small' }, { name: `${MARK_PREFIX}${flags.mark}` }],
      },
    ],
    rules: {
      tasks: [
        { name: 'quote', class: 'urgent' },
        { name: 'deposit', class: 'urgent', idempotent: false },
      ],
    },
  });
