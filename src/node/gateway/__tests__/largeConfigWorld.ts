import { randomBytes } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import { Right } from 'purify-ts';
import pino from 'pino';
import { createThrottledLink, startRelay, type Relay } from '../../__tests__/cluster';
import { createMetrics, createInternalServer } from '../../metrics';
import type { Route } from '../../routing';
import { createConfig, createRoute } from '../../routing/__tests__/configFixtures';
import {
  createRoutingHandler,
  createRoutingState,
  fetchConfigParams,
  watchRoutingParams,
  type RoutingAnswer,
  type WatchRoutingParams,
} from '../../routingControl';
import { createMethod, createRpcClient, startHttpServer } from '../../rpc';
import { createLeaseClock } from '../leaseClock';
import { createRoutingView, type RoutingView } from '../routingView';

const SECRET = 'secret';
const HOSTS = 3;
const LAG_POLL_MS = 10;
const SILENT = pino({ level: 'silent' });

// Names at random keep routes from being compressed to almost nothing.
const createRandomId = (): string => randomBytes(4).toString('hex');

/** Returns the routes with more of them at the end. */
export const addRoutes = (routes: readonly Route[], count: number): readonly Route[] => [
  ...routes,
  ...Array.from({ length: count }, (_item, index) =>
    createRoute(`r-${createRandomId()}`, `/${createRandomId()}/${index}/`),
  ),
];

/** A gateway behind a slow link of its own. */
export interface LinkedGateway {
  readonly name: string;
  readonly view: RoutingView;
  /** The relays to the control hosts; the first one leads. */
  readonly relays: readonly Relay[];
  /** Returns the version on which the gateway acts; undefined without a lease. */
  readonly readVersion: () => number | undefined;
  /** Counts the bytes on the gateway's link. */
  readonly countBytes: () => number;
  readonly stop: () => Promise<void>;
}

/** Control hosts that hold the same state, and gateways. */
export interface LargeConfigWorld {
  /** Gateways, which begin to call when their views are started. */
  readonly gateways: readonly LinkedGateway[];
  /**
   * Puts routes in force and returns the version. A control host that lags behind applies it later,
   * and confirms no answer until then.
   */
  readonly replaceRoutes: (routes: readonly Route[], lagsMs?: readonly number[]) => number;
  readonly stop: () => Promise<void>;
}

/** Options of a world: its gateways and the rate of their links. */
export interface LargeConfigOptions {
  readonly bitsPerSecond: number;
  readonly gateways?: number;
  readonly leaseMs?: number;
}

const formatGateway = (index: number): string => `gateway-${index}`;

const startGateway = async (
  name: string,
  addresses: readonly string[],
  { bitsPerSecond, leaseMs = 4_000 }: LargeConfigOptions,
): Promise<LinkedGateway> => {
  const link = createThrottledLink(bitsPerSecond);
  const relays = await Promise.all(addresses.map((address) => startRelay(address, link)));
  const rpc = createRpcClient({ secret: SECRET });
  const view = createRoutingView({
    gateway: name,
    controlHosts: [relays[0]!.address],
    leaseMs,
    rpc,
    clock: createLeaseClock(),
    log: SILENT,
    listTallies: () => [],
  });
  return {
    name,
    view,
    relays,
    readVersion: () => view.read()?.table.config.version,
    countBytes: link.countBytes,
    stop: async () => {
      view.stop();
      await rpc.close();
      await Promise.all(relays.map((relay) => relay.stop()));
    },
  };
};

/** Starts the control hosts and the gateways of a world. */
export const startLargeConfigWorld = async (
  options: LargeConfigOptions,
): Promise<LargeConfigWorld> => {
  const { gateways: gatewayCount = 1 } = options;
  const gateways = new Map<string, LinkedGateway>();
  const states = Array.from({ length: HOSTS }, createRoutingState);
  let version = 0;
  /** Resolves when a control host has applied all changes so far. */
  const applied: Promise<void>[] = states.map(() => Promise.resolve());
  const servers = states.map((state) => {
    const handler = createRoutingHandler({
      replica: {
        confirmRead: async () => {
          const committed = version;
          while (state.revision() < committed) await sleep(LAG_POLL_MS);
          return Right({ index: committed, term: 1 });
        },
        status: () => ({ leaderAddress: '' }),
      } as never,
      state,
      supervisor: { recordTallies: () => {}, listAges: () => [] } as never,
      listZones: undefined,
      log: SILENT,
      listControlHosts: () => [],
      readNow: () => performance.now(),
    });
    // A gateway knows the control hosts by the addresses of its relays.
    const handleWatch = async (params: WatchRoutingParams): Promise<RoutingAnswer> => {
      const answer = await handler.watch(params);
      const controlHosts = gateways.get(params.gateway)!.relays.map(({ address }) => address);
      return { ...answer, controlHosts, leader: controlHosts[0]! };
    };
    return createInternalServer({
      methods: {
        'routing.watch': createMethod(watchRoutingParams, handleWatch),
        'routing.config': createMethod(fetchConfigParams, handler.readConfigPiece),
      },
      secret: SECRET,
      tls: undefined,
      metrics: createMetrics(),
      isReady: () => true,
      readRevision: state.revision,
    });
  });
  const addresses = await Promise.all(
    servers.map((server) => startHttpServer(server, { host: '127.0.0.1', port: 0 })),
  );
  for (let index = 0; index < gatewayCount; index += 1) {
    const name = formatGateway(index);
    gateways.set(name, await startGateway(name, addresses, options));
  }

  return {
    gateways: [...gateways.values()],
    replaceRoutes: (routes, lagsMs = []) => {
      version += 1;
      const index = version;
      const config = createConfig(index, { routes });
      states.forEach((state, host) => {
        const lagMs = lagsMs[host] ?? 0;
        // The changes of a log are applied in its order.
        applied[host] = applied[host]!.then(async () => {
          if (lagMs > 0) await sleep(lagMs);
          state.apply(index, { type: 'replaceConfig', config, source: '' });
        });
      });
      return index;
    },
    stop: async () => {
      await Promise.all(applied);
      await Promise.all([...gateways.values()].map((gateway) => gateway.stop()));
      await Promise.all(servers.map((server) => server.close()));
    },
  };
};
