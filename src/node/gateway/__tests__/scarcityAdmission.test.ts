import test from 'ava';
import { Registry } from 'prom-client';
import { createRouteTable } from '../../routing';
import { createEndpointLoads } from '../endpointLoads';
import { createGatewayMetrics } from '../gatewayMetrics';
import { createScarcityAdmission } from '../scarcityAdmission';
import type { ScarcityRequest, WaitEnd } from '../scarcityTypes';
import { createReport, createRoute } from './harness';

const GATEWAYS = 4;
const TARGET_MS = 2_000;

const ROUTES = [0, 1].map((rank) =>
  createRoute({ name: `r-${rank}`, rank, targetLatencyMs: TARGET_MS, timeoutMs: 10_000 }),
);

const createTable = (routes: typeof ROUTES) =>
  createRouteTable({
    version: 1,
    routes,
    services: [{ name: 's', connectionLimit: 100, engine: undefined }],
    organisations: [],
    limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
  });

// A gateway with two endpoints on a clock that the test advances.
const createWorld = (routes = ROUTES) => {
  let now = 0;
  let poll: (() => void) | undefined;
  const logs: string[] = [];
  const loads = createEndpointLoads();
  const endpoints = [0, 1].map((index) => ({ report: createReport(index, 1), isReady: true }));
  const admission = createScarcityAdmission({
    registry: { listEndpoints: () => endpoints },
    loads,
    metrics: createGatewayMetrics(new Registry()),
    log: { info: (...line: readonly unknown[]) => logs.push(JSON.stringify(line)) },
    readNow: () => now,
    schedule: (_delayMs, run) => {
      poll = run;
    },
  });
  const table = createTable(routes);
  const createRequest = (rank: number, id: string, hasEnded = () => false): ScarcityRequest => ({
    requestId: id,
    route: routes[rank]!,
    rank,
    organisation: 'north',
    service: 's',
    table,
    fingerprint: id,
    targetEndsAt: now + TARGET_MS,
    deadlineAt: now + 10_000,
    gatewayCount: GATEWAYS,
    work: { queueMs: 9_000, prefillMs: 100 },
    estimateWork: () => ({ queueMs: 9_000, prefillMs: 100 }),
    hasEnded,
  });
  return {
    admission,
    logs,
    createRequest,
    setPool: (readMs: number, running: number) => {
      loads.updatePeerLoads(
        endpoints.map(({ report: { id } }) => ({ endpoint: id, running, readMs })),
      );
      admission.recordExchange();
    },
    addOwn: (prefillMs: number) =>
      endpoints.forEach(({ report: { id } }) => loads.add(id, { sentAt: 1e6, prefillMs })),
    advance: (ms: number) => {
      now += ms;
      const run = poll;
      poll = undefined;
      run?.();
    },
  };
};

// Guards against an admission that affects services whose routes have one rank.
test('nothing is held back where the ranks of routes do not differ', (t) => {
  const world = createWorld([0, 1].map((rank) => ({ ...ROUTES[rank]!, rank: 1 })));
  world.setPool(60_000, 80);
  t.is(world.admission.admit(world.createRequest(0, 'a'), () => {}).type, 'run');
});

// Guards against gateways that accept all work while they do not know that of the others.
test('without the exchange, own work stands for that of every gateway', (t) => {
  const world = createWorld();
  world.addOwn(500);
  world.setPool(0, 6);
  t.is(world.admission.admit(world.createRequest(1, 'a'), () => {}).type, 'run');
  world.advance(2_000);
  t.not(world.admission.admit(world.createRequest(1, 'b'), () => {}).type, 'run');
});

// Guards against a request that is refused only when its target has passed.
test('a waiting request is refused soon after it can no longer be on time', (t) => {
  const world = createWorld();
  const ends: WaitEnd[] = [];
  world.setPool(1_800, 8);
  t.is(world.admission.admit(world.createRequest(1, 'a'), (end) => ends.push(end)).type, 'wait');
  world.setPool(60_000, 8);
  t.is(ends[0]?.type, 'refused');
  t.true(world.logs.some((line) => line.includes('request refused under scarcity')));
});

// Guards against a wait that goes on after the pool has drained.
test('a waiting request runs once the pool has room', (t) => {
  const world = createWorld();
  const ends: WaitEnd[] = [];
  world.setPool(1_800, 8);
  world.admission.admit(world.createRequest(1, 'a'), (end) => ends.push(end));
  world.setPool(100, 1);
  t.deepEqual(ends, [{ type: 'run' }]);
  t.is(world.admission.countWaiting(), 0);
});

// Guards against requests of callers who have left that hold back the others.
test('a request that ended otherwise leaves the queue', (t) => {
  const world = createWorld();
  const ends: WaitEnd[] = [];
  let hasEnded = false;
  world.setPool(1_800, 8);
  const request = world.createRequest(1, 'a', () => hasEnded);
  world.admission.admit(request, (end) => ends.push(end));
  hasEnded = true;
  world.advance(20);
  t.deepEqual(ends, [{ type: 'ended' }]);
  t.is(world.admission.countWaiting(), 0);
});
