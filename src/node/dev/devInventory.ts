import { computeKeyHash } from '../entry';
import { inventorySchema, type Inventory } from '../inventory';

/** API keys of the two organisations of the quick start. */
export const DEV_KEYS = ['dev-key', 'dev-key-2'] as const;

/** Creates the quick-start inventory: three models, one with two versions, and one service. */
export const createDevInventory = (): Inventory =>
  inventorySchema.parse({
    zones: [{ name: 'dev-zone', region: 'dev-region' }],
    hosts: [],
    models: [
      {
        name: 'small',
        stableVersion: 'v1',
        versions: [{ name: 'v1' }, { name: 'v2' }],
        inputCostPerThousand: 0.1,
        outputCostPerThousand: 0.2,
        priorQuality: 0.7,
        priorLatencyMs: 200,
      },
      {
        name: 'medium',
        stableVersion: 'v1',
        versions: [{ name: 'v1' }],
        inputCostPerThousand: 0.5,
        outputCostPerThousand: 1,
        priorQuality: 0.85,
        priorLatencyMs: 500,
      },
      {
        name: 'large',
        stableVersion: 'v1',
        versions: [{ name: 'v1' }],
        inputCostPerThousand: 3,
        outputCostPerThousand: 9,
        priorQuality: 0.95,
        priorLatencyMs: 1_200,
      },
    ],
    services: [
      {
        name: 'bookings',
        routes: [
          { method: 'GET', path: '/', idempotent: true },
          { method: 'POST', path: '/', idempotent: false },
        ],
      },
    ],
    endpoints: [],
    organisations: [
      {
        name: 'dev',
        keyHashes: [computeKeyHash(DEV_KEYS[0])],
        models: [{ name: 'small' }, { name: 'medium' }, { name: 'large' }],
        services: ['bookings'],
      },
      {
        name: 'dev-2',
        keyHashes: [computeKeyHash(DEV_KEYS[1])],
        models: [{ name: 'small' }],
        services: [],
      },
    ],
    rules: {
      tasks: [
        { name: 'walk-in', class: 'urgent', qualityTarget: 0.6 },
        { name: 'contract', class: 'deferrable', value: 'high', qualityTarget: 0.9 },
        { name: 'deposit', class: 'urgent', idempotent: false },
      ],
    },
  });
