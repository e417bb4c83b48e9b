import { randomBytes } from 'node:crypto';
import { Right } from 'purify-ts';
import pino from 'pino';
import { createThrottledLink, startRelay, type Relay } from '../../__tests__/cluster';
import { createMetrics, createInternalServer } from '../../metrics';
import type { Route, RoutingConfig } from '../../routing';
import {
  createRoutingHandler,
  createRoutingState,
  fetchConfigParams,
  watchRoutingParams,
} from '../../routingControl';
import { createMethod, createRpcClient, startHttpServer } from '../../rpc';
import { createLeaseClock } from '../leaseClock';
import { createRoutingView, type RoutingView } from '../routingView';

const SECRET = 'secret';
const HOSTS = 3;
const LEASE_MS = 4_000;
const SILENT = pino({ level: 'silent' });

const createRoute = (index: number, timeoutMs: number): Route => ({
  name: `r-${randomBytes(4).toString('hex')}`,
  host: 'models.example',
  pathPrefix: `/${randomBytes(4).toString('hex')}/${index}/`,
  kind: 'stream',
  timeoutMs,
  targetLatencyMs: 3_000,
  gapTargetMs: 1_500,
  rank: 0,
  targets: [{ service: 'large-models', weight: 1 }],
  attemptLimit: 3,
  isPublic: false,
  canResume: true,
  models: ['small-model', 'medium-model', 'large-model'],
});

/** Returns the routes with more of them at the end. */
export const addRoutes = (routes: readonly Route[], count: number): readonly Route[] => [
  ...routes,
  ...Array.from({ length: count }, (_item, index) => createRoute(index, 10_000)),
];

const createConfig = (version: number, routes: readonly Route[]): RoutingConfig => ({
  version,
  routes,
  services: [{ name: 'large-models', connectionLimit: 370, engine: undefined }],
  organisations: [],
  limits: {
    headerBytes: 16_384,
    bodyBytes: 4_194_304,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  },
});

/** Control hosts that hold the same state, and one gateway behind a slow link. */
export interface LargeConfigWorld {
  readonly view: RoutingView;
  /** The relays to the control hosts; the first one leads. */
  readonly relays: readonly Relay[];
  /** Puts routes in force on all control hosts and returns the version. */
  readonly replaceRoutes: (routes: readonly Route[]) => number;
  /** Returns the version on which the gateway acts; undefined without a lease. */
  readonly readVersion: () => number | undefined;
  /** Counts the bytes on the gateway's link. */
  readonly countBytes: () => number;
  readonly stop: () => Promise<void>;
}

/** Starts the world; the gateway begins to call when its view is started. */
export const startLargeConfigWorld = async (bitsPerSecond: number): Promise<LargeConfigWorld> => {
  const link = createThrottledLink(bitsPerSecond);
  const relays: Relay[] = [];
  const states = Array.from({ length: HOSTS }, createRoutingState);
  const servers = states.map((state) => {
    const handler = createRoutingHandler({
      replica: {
        confirmRead: async () => Right({ index: 0, term: 1 }),
        status: () => ({ leaderAddress: relays[0]!.address }),
      } as never,
      state,
      supervisor: { recordTallies: () => {}, listAges: () => [] } as never,
      listZones: undefined,
      log: SILENT,
      listControlHosts: () => relays.map(({ address }) => address),
      readNow: () => performance.now(),
    });
    return createInternalServer({
      methods: {
        'routing.watch': createMethod(watchRoutingParams, handler.watch),
        'routing.config': createMethod(fetchConfigParams, handler.readConfigPiece),
      },
      secret: SECRET,
      tls: undefined,
      metrics: createMetrics(),
      isReady: () => true,
      readRevision: state.revision,
    });
  });
  for (const server of servers) {
    const address = await startHttpServer(server, { host: '127.0.0.1', port: 0 });
    relays.push(await startRelay(address, link));
  }
  const rpc = createRpcClient({ secret: SECRET });
  const view = createRoutingView({
    gateway: 'gateway',
    controlHosts: [relays[0]!.address],
    leaseMs: LEASE_MS,
    rpc,
    clock: createLeaseClock(),
    log: SILENT,
    listTallies: () => [],
  });
  let version = 0;

  return {
    view,
    relays,
    replaceRoutes: (routes) => {
      version += 1;
      const config = createConfig(version, routes);
      states.forEach((state) =>
        state.apply(version, { type: 'replaceConfig', config, source: '' }),
      );
      return version;
    },
    readVersion: () => view.read()?.table.config.version,
    countBytes: link.countBytes,
    stop: async () => {
      view.stop();
      await rpc.close();
      await Promise.all(relays.map((relay) => relay.stop()));
      await Promise.all(servers.map((server) => server.close()));
    },
  };
};
