import test, { type ExecutionContext } from 'ava';
import { Right } from 'purify-ts';
import { createRootLogger } from '../../log';
import type { LeaseClient } from '../../lease';
import type { RpcClient } from '../../rpc';
import type { LoadPermit } from '../../shared';
import { startStandinEngine, type StandinEngine } from '../../standin';
import { createViewStore, type ViewEntry } from '../../view';
import { createAnnouncementStore } from '../announcements';
import { createEndpointReconciler, type EndpointReconciler } from '../endpointReconciler';

const LOG = createRootLogger({ level: 'silent', node: 'test' });
const V1 = { model: 'small', version: 'v1' } as const;
const V2 = { model: 'small', version: 'v2' } as const;
const ANNOUNCEMENT_TIMEOUT_MS = 60_000;

const MODEL = {
  name: 'small',
  stableVersion: 'v1',
  versions: [
    { name: 'v1', state: 'active' },
    { name: 'v2', state: 'active' },
  ],
  inputCostPerThousand: 1,
  outputCostPerThousand: 1,
  priorQuality: 0.5,
  priorLatencyMs: 100,
} as const;

interface AgentFake {
  readonly incarnation: number;
  readonly isValid?: boolean;
  readonly permit?: LoadPermit;
  readonly load?: readonly { readonly model: string; readonly version: string }[];
}

const GRANTED: LoadPermit = { isGranted: true, waitMs: 0 };

const createLease = (fake: AgentFake): LeaseClient => {
  const view = createViewStore();
  const load = fake.load ?? [V1, V2];
  const endpoint = { name: 'e1', host: 'h1', state: 'active', load } as const;
  const entries: ViewEntry[] = [
    { kind: 'model', name: 'small', revision: 1, value: MODEL },
    { kind: 'endpoint', name: 'e1', revision: 1, value: endpoint },
  ];
  view.apply({ type: 'snapshot', revision: 1, entries });
  return {
    view,
    incarnation: () => fake.incarnation,
    isValid: () => fake.isValid ?? true,
    isReplaced: () => false,
    controlAddress: () => 'control',
    chooseNextControl: () => {},
    start: async () => {},
    stop: async () => {},
  };
};

const createAgent = (engine: StandinEngine, fake: AgentFake): EndpointReconciler => {
  const announcements = createAnnouncementStore(ANNOUNCEMENT_TIMEOUT_MS);
  announcements.add({
    endpoint: 'e1',
    address: engine.address,
    serves: [V1],
    slots: 1,
    checksFencing: false,
  });
  const rpc = {
    call: async () => Right(fake.permit ?? GRANTED),
  } as unknown as RpcClient;
  const hasWork = (): boolean => false;
  const lease = createLease(fake);
  return createEndpointReconciler({ node: 'n', lease, announcements, rpc, log: LOG, hasWork });
};

const startEngine = async (t: ExecutionContext, checksFencing: boolean) => {
  const engine = await startStandinEngine({
    endpoint: 'e1',
    listen: { host: '127.0.0.1', port: 0 },
    agentAddress: '127.0.0.1:9',
    serves: [V1],
    checksFencing,
  });
  t.teardown(engine.stop);
  return engine;
};

const listFences = (engine: StandinEngine) =>
  engine.listOrders().map(({ fence, isTaken }) => ({ fence, isTaken }));

const CASES = [
  {
    title: 'an agent with a lease orders the load of a missing version',
    checksFencing: false,
    agents: [{ incarnation: 3 }],
    orders: [{ fence: 3, isTaken: true }],
  },
  {
    title: 'an agent without a lease sends no orders',
    checksFencing: false,
    agents: [{ incarnation: 3, isValid: false }],
    orders: [],
  },
  {
    title: 'no order to load is sent without a permit for the weight store',
    checksFencing: false,
    agents: [{ incarnation: 3, permit: { isGranted: false, waitMs: 500 } }],
    orders: [],
  },
  {
    title: 'an engine that checks fencing refuses the older agent, which then sends no orders',
    checksFencing: true,
    agents: [{ incarnation: 4 }, { incarnation: 3 }],
    orders: [
      { fence: 4, isTaken: true },
      { fence: 3, isTaken: false },
      { fence: 4, isTaken: true },
    ],
  },
  {
    title: 'an engine without fencing gets no orders from an older agent that has no lease',
    checksFencing: false,
    agents: [{ incarnation: 4 }, { incarnation: 3, isValid: false }],
    orders: [
      { fence: 4, isTaken: true },
      { fence: 4, isTaken: true },
    ],
  },
] as const;

for (const { title, checksFencing, agents, orders } of CASES) {
  test(title, async (t) => {
    const engine = await startEngine(t, checksFencing);
    const list = agents.map((fake) => createAgent(engine, fake));
    // Each of two agents advances twice, to detect one that does not stop after a refusal.
    const turns = list.length > 1 ? [...list, ...list] : list;
    for (const agent of turns) await agent.advance();
    t.deepEqual(listFences(engine), [...orders]);
  });
}
