// Guards against configurations that no gateway gets, because one answer held all of them and took
// longer than its call, and against the leases that this cost.
import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import { waitFor } from '../../__tests__/cluster';
import {
  addRoutes,
  startLargeConfigWorld,
  type LargeConfigWorld,
  type LinkedGateway,
} from './largeConfigWorld';

const BITS_PER_SECOND = 7_000_000;
/** Time within which a change must be in force. */
const PROPAGATION_MS = 2_000;
const IDLE_MS = 1_000;

const waitUntilInForce = async (gateway: LinkedGateway, version: number): Promise<number> => {
  const startedAt = performance.now();
  const isInForce = (): boolean => (gateway.readVersion() ?? 0) >= version;
  await waitFor(`version ${version} in force`, isInForce, 10 * PROPAGATION_MS).catch(() => {});
  return isInForce() ? performance.now() - startedAt : Infinity;
};

interface GrowthCase {
  readonly name: string;
  /** Routes that each change adds. */
  readonly steps: readonly number[];
  /** Bytes on the link that the last change may take. */
  readonly maxBytes: number;
}

const growthCases: readonly GrowthCase[] = [
  { name: 'a gateway starts beside 2,800 routes', steps: [2_800], maxBytes: 250_000 },
  { name: 'a gateway starts beside 10,000 routes', steps: [10_000], maxBytes: 900_000 },
  { name: 'routes are added twice', steps: [24, 1_400, 1_400], maxBytes: 150_000 },
  { name: 'one route is added to 100', steps: [100, 1], maxBytes: 8_000 },
  { name: 'one route is added to 10,000', steps: [10_000, 1], maxBytes: 8_000 },
];

for (const { name, steps, maxBytes } of growthCases) {
  test.serial(`a configuration reaches a gateway on a slow link: ${name}`, async (t) => {
    const world = await startLargeConfigWorld({ bitsPerSecond: BITS_PER_SECOND });
    const gateway = world.gateways[0]!;
    t.teardown(world.stop);
    let routes = addRoutes([], steps[0]!);
    let version = world.replaceRoutes(routes);
    let before = gateway.countBytes();
    gateway.view.start();
    t.true((await waitUntilInForce(gateway, version)) < PROPAGATION_MS);
    for (const step of steps.slice(1)) {
      await sleep(IDLE_MS);
      t.not(gateway.readVersion(), undefined, 'the lease is held');
      before = gateway.countBytes();
      routes = addRoutes(routes, step);
      version = world.replaceRoutes(routes);
      t.true((await waitUntilInForce(gateway, version)) < PROPAGATION_MS);
    }
    await sleep(IDLE_MS);
    const bytes = gateway.countBytes() - before;
    t.true(bytes < maxBytes, `${bytes} bytes`);
    t.is(gateway.view.read()?.table.config.routes.length, routes.length);
  });
}

interface FaultCase {
  readonly name: string;
  readonly bitsPerSecond: number;
  readonly routes: number;
  /** Called some time after the gateway has begun to fetch. */
  readonly disturb: (gateway: LinkedGateway, world: LargeConfigWorld) => Promise<void> | void;
  readonly withinMs: number;
  /** Bytes on the link until the configuration is in force; any number if absent. */
  readonly maxBytes?: number;
}

const faultCases: readonly FaultCase[] = [
  {
    name: 'the control host falls silent',
    bitsPerSecond: BITS_PER_SECOND,
    routes: 10_000,
    disturb: ({ relays }) => relays[0]!.cut('toCaller'),
    withinMs: 5_000,
  },
  {
    name: 'all connections are cut for a second',
    bitsPerSecond: BITS_PER_SECOND,
    routes: 10_000,
    disturb: async ({ relays }) => {
      relays.forEach((relay) => relay.cut('toCaller'));
      await sleep(1_000);
      relays.forEach((relay) => relay.restore());
    },
    withinMs: 6_000,
  },
  {
    name: 'the transfer lasts longer than a lease',
    bitsPerSecond: 400_000,
    routes: 10_000,
    disturb: () => {},
    withinMs: 10_000,
    // The pieces take 280,000; requesting them from other hosts as well would double that.
    maxBytes: 400_000,
  },
  {
    name: 'the configuration changes all the time',
    bitsPerSecond: 1_000_000,
    routes: 2_000,
    disturb: async (gateway, world) => {
      let routes = addRoutes([], 2_000);
      for (let changes = 0; changes < 50 && gateway.readVersion() === undefined; changes += 1) {
        await sleep(100);
        routes = addRoutes(routes, 1);
        world.replaceRoutes(routes);
      }
    },
    withinMs: 5_000,
  },
];

for (const { name, bitsPerSecond, routes, disturb, withinMs, maxBytes } of faultCases) {
  test.serial(`a transfer of a configuration goes on: ${name}`, async (t) => {
    const world = await startLargeConfigWorld({ bitsPerSecond });
    const gateway = world.gateways[0]!;
    t.teardown(world.stop);
    const version = world.replaceRoutes(addRoutes([], routes));
    gateway.view.start();
    const startedAt = performance.now();
    await waitFor('the first piece', () => gateway.countBytes() > 40_000);
    await disturb(gateway, world);
    await waitUntilInForce(gateway, version);
    t.true(performance.now() - startedAt < withinMs, `${performance.now() - startedAt} ms`);
    const bytes = gateway.countBytes();
    t.true(bytes < (maxBytes ?? Infinity), `${bytes} bytes`);
  });
}
