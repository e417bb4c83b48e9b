import test from 'ava';
import type { Endpoint } from '../../inventory';
import { listOrders } from '../orderPlan';

const V1 = { model: 'small', version: 'v1' } as const;
const V2 = { model: 'small', version: 'v2' } as const;
const NO_CONSTRAINTS = { isWithdrawn: () => false, hasWork: () => false } as const;

const createEndpoint = (fields: Partial<Endpoint>): Endpoint => ({
  name: 'e1',
  host: 'h1',
  state: 'active',
  ...fields,
});

const CASES = [
  {
    title: 'no desired state gives no orders',
    desired: undefined,
    serves: [V1],
    limits: NO_CONSTRAINTS,
    orders: [],
  },
  {
    title: 'a desired state without versions gives no orders',
    desired: createEndpoint({}),
    serves: [V1],
    limits: NO_CONSTRAINTS,
    orders: [],
  },
  {
    title: 'a missing version is loaded',
    desired: createEndpoint({ load: [V1, V2] }),
    serves: [V1],
    limits: NO_CONSTRAINTS,
    orders: [{ type: 'load', ...V2 }],
  },
  {
    title: 'a surplus version without work is unloaded',
    desired: createEndpoint({ load: [V2] }),
    serves: [V1, V2],
    limits: NO_CONSTRAINTS,
    orders: [{ type: 'unload', ...V1 }],
  },
  {
    title: 'a surplus version with work is not unloaded',
    desired: createEndpoint({ load: [V2] }),
    serves: [V1, V2],
    limits: { ...NO_CONSTRAINTS, hasWork: () => true },
    orders: [],
  },
  {
    title: 'a withdrawn version is not loaded',
    desired: createEndpoint({ load: [V1, V2] }),
    serves: [V1],
    limits: {
      ...NO_CONSTRAINTS,
      isWithdrawn: (_model: string, version: string) => version === 'v2',
    },
    orders: [],
  },
  {
    title: 'a missing role and a missing adapter are set',
    desired: createEndpoint({ role: 'prefill', adapters: ['a1'] }),
    serves: [],
    limits: NO_CONSTRAINTS,
    orders: [
      { type: 'setRole', role: 'prefill' },
      { type: 'loadAdapter', adapter: 'a1' },
    ],
  },
] as const;

for (const { title, desired, serves, limits, orders } of CASES) {
  test(`orders: ${title}`, (t) => {
    t.deepEqual(listOrders(desired, { serves }, limits), [...orders]);
  });
}
