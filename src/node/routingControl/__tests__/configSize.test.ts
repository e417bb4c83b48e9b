// Guards against configurations that are valid but refused as too large, because the command held
// them twice, and their text escaped.
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import pino from 'pino';
import { createReplicationHost } from '../../replication';
import { createConfig, createRoute } from '../../routing/__tests__/configFixtures';
import { createRoutingHandler, createRoutingState, type SubmittedConfig } from '..';

const LOG = pino({ level: 'silent' });

const createSubmitted = (version: number, count: number): SubmittedConfig => {
  const routes = Array.from({ length: count }, (_item, index) =>
    createRoute(`route-${index}`, `/path-${index}/`),
  );
  const config = createConfig(version, { routes });
  return { config, source: JSON.stringify(config) };
};

const cases = [{ routes: 24 }, { routes: 2_800 }, { routes: 5_600 }, { routes: 10_000 }] as const;

for (const { routes } of cases) {
  test(`a configuration of ${routes} routes is committed and read back`, async (t) => {
    const data = await mkdtemp(join(tmpdir(), 'config-size-'));
    const state = createRoutingState();
    const host = createReplicationHost({
      node: 'a',
      address: 'a',
      peers: [{ node: 'a', address: 'a' }],
      data,
      rpc: {} as never,
      log: LOG,
      handleFailure: (cause) => t.fail(String(cause)),
    });
    const replica = await host.openGroup('routing', state);
    t.teardown(async () => {
      await host.stop();
      await rm(data, { recursive: true });
    });
    const handler = createRoutingHandler({
      replica,
      state,
      supervisor: {} as never,
      listZones: undefined,
      log: LOG,
      listControlHosts: () => [],
      readNow: () => 0,
    });
    const sent = createSubmitted(7, routes);
    const answer = await handler.replaceConfig(sent);
    t.is(answer.caseOf({ Right: String, Left: ({ message }) => message }), '7');
    t.is((await handler.readConfig()).extract(), sent.source);
    t.is(state.config()?.routes.length, routes);
  });
}
