import { computeKeyHash } from '../../entry';
import { inventorySchema, type Inventory } from '../../inventory';

/** Callers' keys by organisation. */
export const KEYS = { yard: 'yard-key-0001', rack: 'rack-key-0001' } as const;

/** The organisations of the tests. */
export type OrganisationName = keyof typeof KEYS;

/** Models and versions that each organisation may use. */
export const ALLOWED: Readonly<Record<OrganisationName, readonly string[]>> = {
  yard: ['small@v1', 'small@v2', 'large@v1'],
  rack: ['small@v1', 'small@v2'],
};

/** Name of the plain service. */
export const SERVICE = 'bookings';

const COSTS = { inputCostPerThousand: 1, outputCostPerThousand: 2, priorLatencyMs: 100 } as const;

/** Creates the inventory of the tests; `mark` sets one value that tells inventories apart. */
export const createClusterInventory = (mark = 0): Inventory =>
  inventorySchema.parse({
    zones: [{ name: 'zone-a', region: 'region-a' }],
    models: [
      {
        name: 'small',
        stableVersion: 'v1',
        versions: [{ name: 'v1' }, { name: 'v2' }],
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
    organisations: [
      {
        name: 'yard',
        keyHashes: [computeKeyHash(KEYS.yard)],
        models: [{ name: 'small' }, { name: 'large' }],
        services: [SERVICE],
      },
      { name: 'rack', keyHashes: [computeKeyHash(KEYS.rack)], models: [{ name: 'small' }] },
    ],
    rules: {
      latencyWeight: mark,
      tasks: [
        { name: 'quote', class: 'urgent' },
        { name: 'deposit', class: 'urgent', idempotent: false },
      ],
    },
  });
