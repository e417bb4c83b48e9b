import { Registry } from 'prom-client';
import {
  createGatewayMetrics,
  createPrefixCacheEstimates,
  createEndpointChooser,
  createEndpointLoads,
  createScarcityAdmission,
  createEqualSpeeds,
  createServiceSpeeds,
  createSessionVersions,
  type PrefixCacheEstimates,
  type EndpointChooser,
  type EndpointLoads,
  type ServiceSpeeds,
  type RoutingFacts,
  type ScarcityAdmission,
} from '../../src/node/gateway';
import type { EndpointReport } from '../../src/node/registry';
import { createRouteTable, type Route } from '../../src/node/routing';
import type {
  LoadAggregator,
  PromptCursor,
  SpeedCursor,
  SpeedTable,
} from '../../src/node/routingControl';
import type { Clock } from './clock';
import type { Pattern, PatternTask } from './pattern';

/** Tables of the control host that the gateways share. */
export interface EmulatedTables {
  readonly aggregator: LoadAggregator;
  /** Absent while speeds are not shared. */
  readonly speedTable: SpeedTable | undefined;
}

/** One gateway, built from the production components. */
export interface EmulatedGateway {
  readonly zone: string;
  readonly chooser: EndpointChooser;
  readonly loads: EndpointLoads;
  readonly cacheEstimates: PrefixCacheEstimates;
  readonly speeds: ServiceSpeeds;
  readonly admission: ScarcityAdmission;
  /**
   * Reports what this gateway knows to the tables and returns a function that applies what the other
   * gateways know.
   */
  readonly exchange: (tables: EmulatedTables, now: number) => () => void;
  /** Removes an endpoint that no longer reports. */
  readonly removeEndpoint: (id: string) => void;
}

/** Service of all routes. */
export const SERVICE = 'engines';

/** Builds the route for a task. */
export const createRoute = (pattern: Pattern, task: PatternTask): Route => ({
  name: task.name,
  host: 'emulator',
  pathPrefix: `/${task.name}/`,
  kind: 'stream',
  timeoutMs: task.deadlineMs,
  targetLatencyMs: task.targetMs,
  gapTargetMs: task.gapTargetMs,
  rank: task.rank,
  targets: [{ service: SERVICE, weight: 1 }],
  attemptLimit: 3,
  isPublic: true,
  canResume: true,
  models: pattern.models.map(({ name }) => name),
});

/** Builds the routing configuration that the gateways use. */
export const createFacts = (pattern: Pattern): RoutingFacts => ({
  revision: 1,
  table: createRouteTable({
    version: 1,
    routes: pattern.tasks.map((task) => createRoute(pattern, task)),
    services: [
      {
        name: SERVICE,
        connectionLimit: 1_000,
        engine: {
          slots: pattern.engine.slots,
          cacheTokens: pattern.engine.cacheTokens,
          tokensPerEvent: pattern.engine.tokensPerEvent,
          models: pattern.models.map(({ name, cost }) => ({ name, cost })),
        },
      },
    ],
    organisations: [],
    limits: { headerBytes: 1e5, bodyBytes: 1e7, headerTimeoutMs: 1e4, idleTimeoutMs: 1e4 },
  }),
  rollouts: [],
  retired: [],
  rolloutStartedAt: new Map(),
  gatewayCount: pattern.gateways,
  evacuatedZones: new Set(),
});

/** Formats the zone name of the host with the given index. */
export const formatZone = (pattern: Pattern, index: number): string => `z-${index % pattern.zones}`;

/** Builds the endpoint reports of a pattern. */
export const createReports = (pattern: Pattern): readonly EndpointReport[] =>
  Array.from({ length: pattern.endpoints }, (_item, index) => ({
    id: `e-${index}`,
    startedAt: 1,
    sequence: 1,
    service: SERVICE,
    address: `10.0.0.${index}:1`,
    zone: formatZone(pattern, index),
    version: 'v1',
    slots: pattern.engine.slots,
    state: 'ready',
    warmupMs: 0,
    models: pattern.models.map(({ name }) => name),
  }));

/** Creates the gateway with the given index. */
export const createGateway = (
  pattern: Pattern,
  reports: readonly EndpointReport[],
  index: number,
  clock: Clock,
): EmulatedGateway => {
  const zone = formatZone(pattern, index);
  const loads = createEndpointLoads();
  const cacheEstimates = createPrefixCacheEstimates(() => pattern.engine.cacheTokens);
  let endpoints = reports.map((report) => ({ report, isReady: true }));
  const { stepDown } = pattern;
  const remaining = new Set(reports.slice(0, stepDown?.endpoints).map(({ id }) => id));
  let hasSteppedDown = false;
  const registry = {
    listEndpoints: () => {
      if (stepDown && !hasSteppedDown && clock.readNow() >= stepDown.at * 1_000) {
        hasSteppedDown = true;
        endpoints = endpoints.filter(({ report }) => remaining.has(report.id));
      }
      return endpoints;
    },
  };
  const admission = createScarcityAdmission({
    registry,
    loads,
    metrics: createGatewayMetrics(new Registry()),
    log: { info: () => {} },
    readNow: clock.readNow,
    schedule: clock.schedule,
  });
  const speeds = pattern.engine.speeds ? createServiceSpeeds(() => SERVICE) : createEqualSpeeds();
  const chooser = createEndpointChooser({
    zone,
    sessionMs: 5_000,
    exposureShare: 0.1,
    coldPermits: { isWarm: () => true, canSend: () => true, computeRetryMs: () => 0 },
    limits: { canSend: () => true },
    backoffs: { findEnd: () => undefined },
    loads,
    cacheEstimates,
    speeds,
    sessions: createSessionVersions(5_000),
    registry,
  });
  let cursor: PromptCursor | undefined;
  let speedCursor: SpeedCursor | undefined;
  return {
    zone,
    chooser,
    loads,
    cacheEstimates,
    speeds,
    admission,
    exchange: ({ aggregator, speedTable }, now) => {
      const own = {
        gateway: `g-${index}`,
        loads: loads.listOwn(now),
        reads: cacheEstimates.drainDispatched(),
      };
      const answer = aggregator.exchange({ ...own, cursor }, now);
      cursor = answer.cursor;
      const report = { samples: speeds.drainSamples(), cursor: speedCursor };
      const shared = speedTable?.share(report, now);
      speedCursor = shared?.cursor;
      return () => {
        loads.updatePeerLoads(answer.loads, now);
        cacheEstimates.applyPeerPrompts(answer.reads);
        if (shared) speeds.applyShared(shared.speeds, now);
        admission.recordExchange();
      };
    },
    removeEndpoint: (id) => {
      endpoints = endpoints.filter(({ report }) => report.id !== id);
    },
  };
};
