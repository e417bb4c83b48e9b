// Guards against a gateway that never learns of the endpoints, because the first answer of each
// control host held all of them and took longer than its call.
import { performance } from 'node:perf_hooks';
import test from 'ava';
import pino from 'pino';
import { createThrottledLink, startRelay, waitFor } from '../../__tests__/cluster';
import { createInternalServer, createMetrics } from '../../metrics';
import { createRegistry } from '../../registry';
import { createRegistryHandler, watchRegistryParams } from '../../routingControl';
import { createMethod, createRpcClient, startHttpServer } from '../../rpc';
import { createRegistryView } from '../registryView';

const SECRET = 'secret';
const HOSTS = 5;
const ENDPOINTS = 2_800;
const BITS_PER_SECOND = 7_000_000;
/** Twice what the records take on the link. */
const WITHIN_MS = 12_000;
const LOG = pino({ level: 'silent' });

const createReport = (index: number) => ({
  id: `endpoint-${index}`,
  startedAt: 1_767_472_040_000 + index,
  sequence: 1,
  service: 'large-models',
  address: `10.${index % 3}.${Math.floor(index / 250)}.${index % 250}:8389`,
  zone: `zone-${index % 3}`,
  version: 'v1',
  slots: 64,
  state: 'ready' as const,
  warmupMs: 0,
  models: [],
});

const startControlHost = async () => {
  const registry = createRegistry({ reportTimeoutMs: 60_000, retentionMs: 60_000 });
  const rpc = createRpcClient({ secret: SECRET });
  const handler = createRegistryHandler({
    registry,
    rpc,
    log: LOG,
    listPeers: () => [],
    readNow: () => performance.now(),
    readWallClock: Date.now,
  });
  for (let index = 0; index < ENDPOINTS; index += 1)
    await handler.handleReport(createReport(index));
  const server = createInternalServer({
    methods: { 'registry.watch': createMethod(watchRegistryParams, handler.watch) },
    secret: SECRET,
    tls: undefined,
    metrics: createMetrics(),
    isReady: () => true,
    readRevision: registry.revision,
  });
  const address = await startHttpServer(server, { host: '127.0.0.1', port: 0 });
  return { address, handler, stop: () => server.close() };
};

test('a gateway on a slow link learns of all endpoints, and then of changes at once', async (t) => {
  const link = createThrottledLink(BITS_PER_SECOND);
  const hosts = await Promise.all(Array.from({ length: HOSTS }, startControlHost));
  const relays = await Promise.all(hosts.map(({ address }) => startRelay(address, link)));
  const rpc = createRpcClient({ secret: SECRET });
  const view = createRegistryView({
    rpc,
    log: LOG,
    listControlHosts: () => relays.map(({ address }) => address),
  });
  t.teardown(async () => {
    view.stop();
    await rpc.close();
    await Promise.all(relays.map((relay) => relay.stop()));
    await Promise.all(hosts.map((host) => host.stop()));
  });
  const countReady = (): number =>
    view.listEndpoints('large-models').filter(({ isReady }) => isReady).length;
  view.start();
  await waitFor('all endpoints', () => countReady() === ENDPOINTS, WITHIN_MS);
  await hosts[1]!.handler.handleReport({ ...createReport(7), sequence: 2, state: 'draining' });
  await waitFor('the change', () => countReady() === ENDPOINTS - 1, 1_000);
  t.is(countReady(), ENDPOINTS - 1);
});
