import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import fastify, { type FastifyInstance } from 'fastify';
import { createWindowBudget, type WindowBudget } from '../decisions';
import type { Service } from '../kernel';
import { createPartLogger, type Logger } from '../log';
import { createInternalServer, createMetricsService, type Metrics } from '../metrics';
import {
  createRpcService,
  registerConnectionDrain,
  startHttpServer,
  type ConnectionDrain,
  type RpcClient,
} from '../rpc';
import { createByteBudget } from './byteBudget';
import { createCallerServer, updateTimeouts } from './callerServer';
import type { ColdPermits } from './coldPermits';
import { createRestraintServices } from './restraintServices';
import { createEndpointChooser } from './endpointChoice';
import { createPrefixCacheEstimates, type PrefixCacheEstimates } from './prefixCacheEstimates';
import type { EndpointLimits } from './endpointLimits';
import { createEndpointLoads, type EndpointLoads } from './endpointLoads';
import type { EndpointBackoffs } from './endpointBackoffs';
import { startEndpointAttempt } from './endpointAttempt';
import { fetchProcessState } from './endpointProcess';
import { createExchangeRunner, type ExchangeRunner } from './exchange';
import { createGatewayMetrics, type GatewayMetrics } from './gatewayMetrics';
import { createLeaseClock } from './leaseClock';
import type { PeerExchange } from './peerExchange';
import { createPeerExchangeService } from './peerExchangeService';
import { listPoolEndpoints } from './poolEndpoints';
import type { RequestGuard } from './requestGuard';
import type { RequestQuarantine } from './requestQuarantine';
import { createRegistryView, type RegistryView } from './registryView';
import { createRoutingView, type RoutingView } from './routingView';
import { createScarcityAdmission, type ScarcityAdmission } from './scarcityAdmission';
import { createSessionExchange, type SessionExchange } from './sessionExchange';
import { createSessionVersions, type SessionVersions } from './sessionVersions';
import type { GatewaySettings } from './settings';
import type { HeaderCodec, IdentityCodec } from './types';
import { createVersionTallies, type VersionTallies } from './versionTallies';

const HOUSEKEEPING_INTERVAL_MS = 500;
/**
 * Endpoints are added and removed within minutes, so estimates for removed ones can stay this long.
 */
const EXPIRE_INTERVAL_MS = 10_000;
/**
 * The load balancer checks readiness once a second and needs two failures before it redirects
 * callers.
 */
const BALANCER_DRAIN_MS = 3_000;
/** Part of the grace period that is reserved for the exit of the process. */
const EXIT_RESERVE_MS = 600;
const STOP_POLL_MS = 20;

/** Limit for the answer of a process that is asked which endpoint it is, in milliseconds. */
const PROCESS_TIMEOUT_MS = 1_000;

/** Conversions between the gateway's types and the words of a deployment. */
export interface GatewayCodecs {
  readonly codec: HeaderCodec;
  readonly identityCodec: IdentityCodec;
}

/** Shutdown state that the servers share. */
interface GatewayState {
  stoppedAt: number | undefined;
}

const readNow = (): number => performance.now();

const createViewServices = (settings: GatewaySettings): readonly Service[] => [
  {
    name: 'tallies',
    dependencies: [],
    start: () => ({ value: createVersionTallies() }),
  },
  {
    name: 'routing-view',
    dependencies: ['rpc', 'log', 'tallies'],
    start: (find) => {
      const value = createRoutingView({
        gateway: settings.node,
        controlHosts: settings.controlHosts,
        leaseMs: settings.bounds.leaseMs,
        rpc: find<RpcClient>('rpc'),
        clock: createLeaseClock(),
        log: createPartLogger(find<Logger>('log'), 'lease'),
        listTallies: find<VersionTallies>('tallies').list,
      });
      value.start();
      return { value, stop: value.stop };
    },
  },
  {
    name: 'registry-view',
    dependencies: ['rpc', 'log', 'routing-view'],
    start: (find) => {
      const value = createRegistryView({
        rpc: find<RpcClient>('rpc'),
        log: createPartLogger(find<Logger>('log'), 'gateway'),
        listControlHosts: find<RoutingView>('routing-view').listControlHosts,
      });
      value.start();
      return { value, stop: value.stop };
    },
  },
  {
    name: 'beliefs',
    dependencies: ['routing-view', 'registry-view'],
    start: (find) => {
      const view = find<RoutingView>('routing-view');
      const registry = find<RegistryView>('registry-view');
      const value = createPrefixCacheEstimates((endpoint) => {
        const service = registry.findEndpoint(endpoint)?.service;
        if (service === undefined) return undefined;
        return view.read()?.table.findService(service)?.engine?.cacheTokens;
      });
      const timer = setInterval(value.expire, EXPIRE_INTERVAL_MS);
      return { value, stop: () => clearInterval(timer) };
    },
  },
  {
    name: 'loads',
    dependencies: [],
    start: () => ({ value: createEndpointLoads() }),
  },
];

const createSessionServices = ({ node, bounds }: GatewaySettings): readonly Service[] => [
  {
    name: 'sessions',
    dependencies: [],
    start: () => {
      const value = createSessionVersions(bounds.sessionMs);
      const timer = setInterval(() => value.expire(readNow()), HOUSEKEEPING_INTERVAL_MS);
      return { value, stop: () => clearInterval(timer) };
    },
  },
  {
    name: 'session-exchange',
    dependencies: ['rpc', 'log', 'sessions', 'routing-view', 'registry-view'],
    start: (find) => {
      const view = find<RoutingView>('routing-view');
      const value = createSessionExchange({
        gateway: node,
        sessionMs: bounds.sessionMs,
        exposureShare: bounds.exposureShare,
        rpc: find<RpcClient>('rpc'),
        log: createPartLogger(find<Logger>('log'), 'gateway'),
        sessions: find<SessionVersions>('sessions'),
        registry: find<RegistryView>('registry-view'),
        readNow,
        readSnapshot: view.read,
        findControlHost: view.findLeader,
      });
      return { value };
    },
  },
];

const createAdmissionService = (): Service => ({
  name: 'admission',
  dependencies: ['routing-view', 'registry-view', 'loads', 'gateway-metrics', 'log'],
  start: (find) => {
    const view = find<RoutingView>('routing-view');
    const registry = find<RegistryView>('registry-view');
    const value = createScarcityAdmission({
      registry: {
        listEndpoints: (service) => {
          const snapshot = view.read();
          const endpoints = registry.listEndpoints(service);
          return snapshot ? listPoolEndpoints(snapshot, service, endpoints) : endpoints;
        },
      },
      loads: find<EndpointLoads>('loads'),
      metrics: find<GatewayMetrics>('gateway-metrics'),
      log: createPartLogger(find<Logger>('log'), 'gateway'),
      readNow,
      schedule: (delayMs, run) => {
        setTimeout(run, delayMs);
      },
    });
    const timer = setInterval(value.expire, EXPIRE_INTERVAL_MS);
    return { value, stop: () => clearInterval(timer) };
  },
});

const createBudgetFinder = ({ bounds }: GatewaySettings): ((service: string) => WindowBudget) => {
  const budgets = new Map<string, WindowBudget>();
  return (service) => {
    const known = budgets.get(service);
    if (known) return known;
    const created = createWindowBudget({
      ratio: bounds.repeatRatio,
      slack: bounds.repeatSlack,
      windowMs: bounds.repeatWindowMs,
    });
    budgets.set(service, created);
    return created;
  };
};

const createRunnerService = (
  settings: GatewaySettings,
  { codec, identityCodec }: GatewayCodecs,
): Service => ({
  name: 'runner',
  dependencies: [
    'routing-view',
    'registry-view',
    'loads',
    'beliefs',
    'sessions',
    'session-exchange',
    'quarantine',
    'request-guard',
    'limits',
    'cold-permits',
    'admission',
    'backoffs',
    'tallies',
    'gateway-metrics',
    'log',
  ],
  start: (find) => {
    const { zone, bounds } = settings;
    const view = find<RoutingView>('routing-view');
    const loads = find<EndpointLoads>('loads');
    const sessions = find<SessionVersions>('sessions');
    const value = createExchangeRunner({
      codec,
      loads,
      sessions,
      sessionExchange: find<SessionExchange>('session-exchange'),
      chooser: createEndpointChooser({
        zone,
        loads,
        sessions,
        limits: find<EndpointLimits>('limits'),
        coldPermits: find<ColdPermits>('cold-permits'),
        backoffs: find<EndpointBackoffs>('backoffs'),
        cacheEstimates: find<PrefixCacheEstimates>('beliefs'),
        registry: find<RegistryView>('registry-view'),
        sessionMs: bounds.sessionMs,
        exposureShare: bounds.exposureShare,
      }),
      quarantine: find<RequestQuarantine>('quarantine'),
      requestGuard: find<RequestGuard>('request-guard'),
      limits: find<EndpointLimits>('limits'),
      coldPermits: find<ColdPermits>('cold-permits'),
      admission: find<ScarcityAdmission>('admission'),
      recordLeaving: find<RegistryView>('registry-view').recordLeaving,
      backoffs: find<EndpointBackoffs>('backoffs'),
      tallies: find<VersionTallies>('tallies'),
      metrics: find<GatewayMetrics>('gateway-metrics'),
      log: createPartLogger(find<Logger>('log'), 'gateway'),
      readSnapshot: view.read,
      findBudget: createBudgetFinder(settings),
      startAttempt: (target) =>
        startEndpointAttempt(
          { ...target, isPauseChecked: bounds.canEvacuate === true },
          codec.decodeResponse,
        ),
      fetchProcessState: (endpoint) =>
        fetchProcessState(
          identityCodec,
          endpoint,
          view.read()?.table.findService(endpoint.service),
          PROCESS_TIMEOUT_MS,
        ),
      readNow,
    });
    return { value };
  },
});

const createReadyServer = (settings: GatewaySettings, isReady: () => boolean): FastifyInstance => {
  const app = fastify({ logger: false });
  app.get(settings.readyPath, async (_request, reply) => reply.code(isReady() ? 200 : 503).send());
  return app;
};

interface DrainOptions {
  readonly runner: ExchangeRunner;
  readonly callers: FastifyInstance;
  readonly connections: ConnectionDrain;
  readonly graceMs: number;
  readonly startedAt: number;
}

// Requests keep arriving until the load balancer notices the failed readiness check.
// Requests in progress may finish within the grace period.
const drainGateway = async (options: DrainOptions): Promise<void> => {
  const { runner, callers, connections, graceMs, startedAt } = options;
  const endAt = startedAt + graceMs - EXIT_RESERVE_MS;
  const isDrained = (): boolean => runner.countActive() === 0 && connections.countUnsent() === 0;
  while (readNow() < endAt) {
    // Callers with idle keep-alive connections send their next request to another gateway.
    callers.server.closeIdleConnections();
    if (readNow() - startedAt >= BALANCER_DRAIN_MS && isDrained()) return;
    await sleep(STOP_POLL_MS);
  }
};

const createServersService = (settings: GatewaySettings, codec: HeaderCodec): Service => ({
  name: 'gateway-servers',
  dependencies: [
    'runner',
    'routing-view',
    'registry-view',
    'peer-exchange',
    'metrics',
    'gateway-metrics',
    'log',
  ],
  start: async (find) => {
    const log = createPartLogger(find<Logger>('log'), 'gateway');
    const view = find<RoutingView>('routing-view');
    const registry = find<RegistryView>('registry-view');
    const exchange = find<PeerExchange>('peer-exchange');
    const runner = find<ExchangeRunner>('runner');
    const state: GatewayState = { stoppedAt: undefined };
    const isReady = (): boolean =>
      state.stoppedAt === undefined &&
      view.read() !== undefined &&
      registry.hasAnswer() &&
      exchange.hasEndedCall();
    const bodyBudget = createByteBudget(settings.bodyMemoryBytes);
    const callers = createCallerServer({
      codec,
      runner,
      log,
      readNow,
      bodyBudget,
      metrics: find<GatewayMetrics>('gateway-metrics'),
      readSnapshot: view.read,
      waitForSnapshot: view.waitForSnapshot,
      computeSnapshotAgeMs: view.readAgeMs,
      computeSinceSignalMs: () =>
        state.stoppedAt === undefined ? undefined : readNow() - state.stoppedAt,
      graceMs: settings.bounds.graceMs - EXIT_RESERVE_MS,
    });
    const connections = registerConnectionDrain(callers.server);
    const ready = createReadyServer(settings, isReady);
    const internal = createInternalServer({
      methods: {},
      secret: settings.secret,
      tls: undefined,
      metrics: find<Metrics>('metrics'),
      isReady,
      readRevision: () => view.read()?.revision ?? -1,
    });
    find<Metrics>('metrics').registerSource(
      'gatewayZonesEvacuated',
      () => view.read()?.evacuatedZones.size ?? 0,
    );
    const address = await startHttpServer(callers, settings.listen);
    await startHttpServer(ready, settings.readyListen);
    await startHttpServer(internal, settings.internalListen);
    const timer = setInterval(() => {
      const snapshot = view.read();
      if (snapshot) updateTimeouts(callers, snapshot);
    }, HOUSEKEEPING_INTERVAL_MS);
    log.info({ address, zone: settings.zone, controlHosts: settings.controlHosts }, 'listening');
    const stop = async (): Promise<void> => {
      state.stoppedAt = readNow();
      log.info({ active: runner.countActive() }, 'stopping');
      const { graceMs } = settings.bounds;
      await drainGateway({ runner, callers, connections, graceMs, startedAt: state.stoppedAt });
      clearInterval(timer);
      const unsent = connections.countUnsent();
      connections.resetUnsent();
      [callers, ready, internal].forEach(({ server }) => server.close());
      log.info({ left: runner.countActive(), unsent }, 'stopped');
    };
    return { value: { address }, stop };
  },
});

/** Creates the services of a gateway. */
export const createGatewayServices = (
  settings: GatewaySettings,
  codecs: GatewayCodecs,
): readonly Service[] => [
  createRpcService({ secret: settings.secret }),
  createMetricsService(settings.metricsListen),
  {
    name: 'gateway-metrics',
    dependencies: ['metrics'],
    start: (find) => ({ value: createGatewayMetrics(find<Metrics>('metrics').registry) }),
  },
  ...createViewServices(settings),
  ...createSessionServices(settings),
  ...createRestraintServices(settings),
  createAdmissionService(),
  createPeerExchangeService(settings),
  createRunnerService(settings, codecs),
  createServersService(settings, codecs.codec),
];
