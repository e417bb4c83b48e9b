// Draws changes of a configuration beside faults of the links and hosts that send it. CI plays a few
// seeds; `CONFIG_SEEDS=50 npx ava src/node/gateway/__tests__/configFaults.test.ts` plays others.
import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import { waitFor } from '../../__tests__/cluster';
import type { Route } from '../../routing';
import { addRoutes, startLargeConfigWorld } from './largeConfigWorld';
import { createRandom } from './random';

const SEEDS = Number(process.env.CONFIG_SEEDS ?? 3);
const FIRST_SEED = Number(process.env.CONFIG_FIRST_SEED ?? 20_261_207);
const PLAY_MS = 6_000;
const LEASE_MS = 1_500;
/** Time by which the check may be later than the end of a lease on a busy machine. */
const SLACK_MS = 200;
const POLL_MS = 20;
const RECOVERY_MS = 5_000;
const RATES = [1_000_000, 7_000_000, 50_000_000];
const MAX_LAG_MS = 800;

type Action = 'add' | 'remove' | 'replace' | 'cut' | 'silence' | 'restore';

const ACTIONS: readonly Action[] = ['add', 'add', 'remove', 'replace', 'cut', 'silence', 'restore'];

for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed += 1) {
  test.serial(
    `no gateway acts on a replaced configuration beyond its lease: ${seed}`,
    async (t) => {
      t.timeout(60_000);
      const random = createRandom(seed);
      const choose = <T>(items: readonly T[]): T => items[Math.floor(random() * items.length)]!;
      const chooseCount = (limit: number): number => 1 + Math.floor(random() * limit);
      const world = await startLargeConfigWorld({
        bitsPerSecond: choose(RATES),
        gateways: 2,
        leaseMs: LEASE_MS,
      });
      t.teardown(world.stop);
      let routes = addRoutes([], chooseCount(4_000));
      const committedAt = new Map<number, number>();
      let latest = 0;

      const replace = (next: readonly Route[]): void => {
        routes = next;
        const lagsMs = [0, random() * MAX_LAG_MS, random() * MAX_LAG_MS];
        latest = world.replaceRoutes(next, random() < 0.5 ? [] : lagsMs);
        committedAt.set(latest, performance.now());
      };
      const relays = world.gateways.flatMap((gateway) => gateway.relays);
      const handlers: Readonly<Record<Action, () => void>> = {
        add: () => replace(addRoutes(routes, chooseCount(1_000))),
        remove: () => replace(routes.filter(() => random() < 0.9)),
        replace: () => replace(addRoutes([], chooseCount(4_000))),
        cut: () => choose(relays).cut('toCaller'),
        silence: () => choose(relays).silence(),
        restore: () => relays.forEach((relay) => relay.restore()),
      };
      /** Lists gateways that act on a version although a later one has been in force too long. */
      const listOutdated = (): readonly string[] =>
        world.gateways.flatMap((gateway) => {
          const version = gateway.readVersion();
          const replacedAt = version === undefined ? undefined : committedAt.get(version + 1);
          const ageMs = performance.now() - (replacedAt ?? Infinity);
          return ageMs > LEASE_MS + SLACK_MS ? [`${gateway.name} ${version}: ${ageMs} ms`] : [];
        });

      replace(routes);
      world.gateways.forEach(({ view }) => view.start());
      const outdated: string[] = [];
      const endAt = performance.now() + PLAY_MS;
      while (performance.now() < endAt) {
        const nextAt = performance.now() + random() * 600;
        while (performance.now() < nextAt) {
          await sleep(POLL_MS);
          outdated.push(...listOutdated());
        }
        handlers[choose(ACTIONS)]();
      }
      handlers.restore();
      t.deepEqual(outdated, []);
      const hasRecovered = (): boolean =>
        world.gateways.every((gateway) => gateway.readVersion() === latest);
      await waitFor('the latest version at both gateways', hasRecovered, RECOVERY_MS);
      const names = world.gateways.map(({ view }) => view.read()!.table.config.routes);
      names.forEach((held) =>
        t.deepEqual(
          held.map(({ name }) => name),
          routes.map(({ name }) => name),
        ),
      );
    },
  );
}
