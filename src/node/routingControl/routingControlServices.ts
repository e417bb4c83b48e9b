import { performance } from 'node:perf_hooks';
import type { FastifyInstance } from 'fastify';
import type { Service } from '../kernel';
import { createLeaseClock } from '../lease';
import { createPartLogger, type Logger } from '../log';
import { createInternalServer, createMetricsService, type Metrics } from '../metrics';
import { createRegistry, type Registry } from '../registry';
import {
  createDiskFailureHandler,
  createReplicationHost,
  type Replica,
  type ReplicationHost,
} from '../replication';
import {
  createHttpServer,
  createMethod,
  createRpcService,
  startHttpServer,
  type RpcClient,
} from '../rpc';
import { createExchangeHandler, exchangeParams } from './gatewayExchange';
import { createColdTable } from './coldTable';
import { createLeaderConfirmation } from './leaderConfirmation';
import { createLimitTable } from './limitTable';
import { createLoadAggregator, exchangeLoadParams } from './loadAggregator';
import { bindSessionsParams, createSessionDirectory } from './sessionDirectory';
import { claimProbeParams, createSuspectDirectory } from './suspectDirectory';
import {
  fetchConfigParams,
  peerLeaveParams,
  shareReportParams,
  watchRegistryParams,
  watchRoutingParams,
} from './protocol';
import { createRegistryHandler, type RegistryHandler } from './registryHandler';
import { createRolloutSupervisor } from './rolloutSupervisor';
import { createRoutingHandler, type RoutingHandler } from './routingHandler';
import {
  createRoutingState,
  type RoutingCommand,
  type RoutingResult,
  type RoutingState,
} from './routingState';
import type { RoutingControlSettings } from './settings';

/** Handlers for the calls of operators and endpoints. */
export interface ControlHandlers {
  readonly routing: RoutingHandler;
  readonly registry: RegistryHandler;
  /** Returns whether the group has a known leader, which may be this host. */
  readonly hasLeader: () => boolean;
}

/** Registers the HTTP routes for operators and endpoints, which differ between deployments. */
export type RegisterRoutes = (app: FastifyInstance, handlers: ControlHandlers, log: Logger) => void;

/** Reports may arrive seconds late, so an endpoint times out only after several missed reports. */
const MAX_MISSED_REPORTS = 6;
/**
 * Reports missing until an endpoint may have become cold unnoticed. Fewer would often be late ones,
 * and the endpoint would get little until its next reports.
 */
const OVERDUE_REPORTS = 2.5;
/** How long an endpoint that left is remembered. Far longer than any report can be delayed. */
const LEFT_ENDPOINT_RETENTION_MS = 60_000;

interface RoutingGroup {
  readonly replica: Replica<RoutingCommand, RoutingResult>;
  readonly state: RoutingState;
}

const readNow = (): number => performance.now();

const createReplicationService = (settings: RoutingControlSettings): Service => ({
  name: 'replication',
  dependencies: ['rpc', 'log'],
  start: (find) => {
    const log = createPartLogger(find<Logger>('log'), 'replication');
    const value = createReplicationHost({
      node: settings.node,
      address: settings.node,
      peers: settings.peers.map((peer) => ({ node: peer, address: peer })),
      canForm: settings.isFirstStart,
      campaignsEarly: true,
      hasOpenMembership: true,
      data: settings.data,
      log,
      rpc: find<RpcClient>('rpc'),
      handleFailure: createDiskFailureHandler(log),
    });
    return { value, stop: value.stop };
  },
});

const createGroupService = (): Service => ({
  name: 'routing-group',
  dependencies: ['replication'],
  start: async (find) => {
    const state = createRoutingState();
    const replica = await find<ReplicationHost>('replication').openGroup('routing', state);
    const value: RoutingGroup = { replica, state };
    return { value };
  },
});

const createHandlersService = (settings: RoutingControlSettings): Service => ({
  name: 'desks',
  dependencies: ['routing-group', 'rpc', 'log'],
  start: (find) => {
    const log = createPartLogger(find<Logger>('log'), 'control');
    const { replica, state } = find<RoutingGroup>('routing-group');
    const registry: Registry = createRegistry({
      reportTimeoutMs: MAX_MISSED_REPORTS * settings.reportIntervalMs,
      retentionMs: LEFT_ENDPOINT_RETENTION_MS,
      overdueMs: settings.coldBounds && OVERDUE_REPORTS * settings.reportIntervalMs,
      hasColdStart: (service) =>
        state.config()?.services.some((item) => item.name === service && item.coldStart) === true,
    });
    const listControlHosts = (): readonly string[] => replica.status().members;
    const supervisor = createRolloutSupervisor({ replica, state, registry, log, readNow });
    const registryHandler = createRegistryHandler({
      registry,
      log,
      readNow,
      readWallClock: () => Date.now(),
      rpc: find<RpcClient>('rpc'),
      listPeers: () => listControlHosts().filter((host) => host !== settings.node),
    });
    const routing = createRoutingHandler({
      replica,
      state,
      supervisor,
      listZones:
        settings.evacuation &&
        (() => [
          ...settings.evacuation!.zones,
          ...registry.list().map(({ report }) => report.zone),
        ]),
      log,
      listControlHosts,
      readNow,
    });
    supervisor.start();
    registryHandler.start();
    const value: ControlHandlers = {
      routing,
      registry: registryHandler,
      hasLeader: () => replica.status().leader !== '',
    };
    return {
      value,
      stop: () => {
        supervisor.stop();
        registryHandler.stop();
      },
    };
  },
});

const createServersService = (
  settings: RoutingControlSettings,
  registerRoutes: RegisterRoutes,
): Service => ({
  name: 'control-servers',
  dependencies: ['desks', 'replication', 'routing-group', 'metrics', 'log'],
  start: async (find) => {
    const log = createPartLogger(find<Logger>('log'), 'control');
    const handlers = find<ControlHandlers>('desks');
    const { replica, state } = find<RoutingGroup>('routing-group');
    const metrics = find<Metrics>('metrics');
    const loadAggregator = createLoadAggregator();
    const sessionDirectory = createSessionDirectory();
    const suspectDirectory = createSuspectDirectory();
    const tables = {
      loads: loadAggregator,
      sessions: sessionDirectory,
      suspects: suspectDirectory,
      limits: createLimitTable(),
      cold: createColdTable({
        log,
        bounds: settings.coldBounds,
        findColdStart: (service) =>
          state.config()?.services.find(({ name }) => name === service)?.coldStart,
        readLeader: createLeaderConfirmation({ replica, log, ...createLeaseClock() }).read,
      }),
    };
    const handleExchange = createExchangeHandler(tables, log);
    const internalServer = createInternalServer({
      methods: {
        ...find<ReplicationHost>('replication').methods,
        'routing.watch': createMethod(watchRoutingParams, handlers.routing.watch),
        'routing.config': createMethod(fetchConfigParams, handlers.routing.readConfigPiece),
        'registry.watch': createMethod(watchRegistryParams, handlers.registry.watch),
        'gateway.exchange': createMethod(exchangeParams, (params) =>
          handleExchange(params, readNow()),
        ),
        'suspect.probe': createMethod(claimProbeParams, (params) =>
          suspectDirectory.claimProbe(params, readNow()),
        ),
        // Called by gateways of earlier versions.
        'load.exchange': createMethod(exchangeLoadParams, (params) =>
          loadAggregator.exchange(params, readNow()),
        ),
        'session.bind': createMethod(bindSessionsParams, (params) =>
          sessionDirectory.bind(params, readNow()),
        ),
        'registry.leave': createMethod(peerLeaveParams, handlers.registry.handlePeerLeave),
        'registry.share': createMethod(shareReportParams, ({ report, hasLeft }) => {
          handlers.registry.handlePeerReport(report, hasLeft);
          return { type: 'recorded' };
        }),
      },
      secret: settings.secret,
      tls: undefined,
      metrics,
      isReady: handlers.hasLeader,
      readRevision: state.revision,
    });
    metrics.registerSource('configCommitted', () => replica.status().committed);
    metrics.registerSource('zonesEvacuated', handlers.routing.countEvacuatedZones);
    metrics.registerSource('leader', () => Number(replica.status().role === 'leader'));
    const operatorServer = createHttpServer();
    registerRoutes(operatorServer, handlers, log);
    const address = await startHttpServer(internalServer, settings.internalListen);
    const operatorAddress = await startHttpServer(operatorServer, settings.listen);
    log.info({ address, operatorAddress, peers: settings.peers }, 'listening');
    const stop = async (): Promise<void> => {
      await operatorServer.close();
      await internalServer.close();
    };
    return { value: { address, operatorAddress }, stop };
  },
});

/** Creates the services of a routing control host. */
export const createRoutingControlServices = (
  settings: RoutingControlSettings,
  registerRoutes: RegisterRoutes,
): readonly Service[] => [
  createRpcService({ secret: settings.secret }),
  createMetricsService(settings.metricsListen),
  createReplicationService(settings),
  createGroupService(),
  createHandlersService(settings),
  createServersService(settings, registerRoutes),
];
