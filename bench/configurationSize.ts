// Measures how a change of one route reaches gateways, by the size of the configuration:
// `npm run bench:configuration-size`.
import { loadavg } from 'node:os';
import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { addRoutes, startLargeConfigWorld } from '../src/node/gateway/__tests__/largeConfigWorld';

const BITS_PER_SECOND = 7_000_000;
const GATEWAYS = [5, 68];
const ROUTES = [100, 1_400, 2_800, 10_000];
const POLL_MS = 2;
/** Time in which the gateways only renew their leases. */
const IDLE_MS = 2_000;

interface Row {
  readonly gateways: number;
  readonly routes: number;
  /** Milliseconds from the start of the gateways until the last one has the configuration. */
  readonly startMs: number;
  /** Kilobytes on the link of a gateway until then, on average. */
  readonly startKb: number;
  /** Milliseconds from the change of one route until the last gateway has it. */
  readonly changeMs: number;
  /** Kilobytes on the link of a gateway until then, on average. */
  readonly changeKb: number;
  /** Kilobytes a second on the link of a gateway without changes, on average. */
  readonly idleKbPerSecond: number;
}

const print = (line: string): void => console.log(line);

const runRow = async (gatewayCount: number, routeCount: number): Promise<Row> => {
  const world = await startLargeConfigWorld({
    bitsPerSecond: BITS_PER_SECOND,
    gateways: gatewayCount,
  });
  const countKb = (): number =>
    world.gateways.reduce((sum, gateway) => sum + gateway.countBytes(), 0) / gatewayCount / 1_000;
  const waitForAll = async (version: number, startedAt: number): Promise<number> => {
    while (!world.gateways.every((gateway) => gateway.readVersion() === version)) {
      await sleep(POLL_MS);
    }
    return performance.now() - startedAt;
  };
  const routes = addRoutes([], routeCount);
  const first = world.replaceRoutes(routes);
  const startedAt = performance.now();
  world.gateways.forEach(({ view }) => view.start());
  const startMs = await waitForAll(first, startedAt);
  const startKb = countKb();
  await sleep(IDLE_MS);
  const idleKbPerSecond = (countKb() - startKb) / (IDLE_MS / 1_000);
  const kbBefore = countKb();
  const changedAt = performance.now();
  const changeMs = await waitForAll(world.replaceRoutes(addRoutes(routes, 1)), changedAt);
  const changeKb = countKb() - kbBefore;
  await world.stop();
  const gateways = gatewayCount;
  return { gateways, routes: routeCount, startMs, startKb, changeMs, changeKb, idleKbPerSecond };
};

const formatRow = (row: Row): string =>
  [
    row.gateways,
    row.routes,
    Math.round(row.startMs),
    row.startKb.toFixed(1),
    Math.round(row.changeMs),
    row.changeKb.toFixed(1),
    row.idleKbPerSecond.toFixed(1),
  ].join(' | ');

const run = async (): Promise<void> => {
  print(`load average ${loadavg()[0]!.toFixed(1)}, links of ${BITS_PER_SECOND / 1e6} Mbit/s`);
  print('gateways | routes | start, ms | KB | one route, ms | KB | idle, KB/s');
  for (const gateways of GATEWAYS) {
    for (const routes of ROUTES) print(formatRow(await runRow(gateways, routes)));
  }
};

await run();
process.exit(0);
