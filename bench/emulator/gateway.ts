import { Registry } from 'prom-client';
import {
  createGatewayMetrics,
  createPrefixCacheEstimates,
  createEndpointChooser,
  createEndpointLoads,
  createScarcityAdmission,
  createSessionVersions,
  type PrefixCacheEstimates,
  type EndpointChooser,
  type EndpointLoads,
  type RoutingFacts,
  type ScarcityAdmission,
} from '../../src/node/gateway';
import type { EndpointReport } from '../../src/node/registry';
import { createRouteTable, type Route } from '../../src/node/routing';
import type { LoadAggregator, PromptCursor } from '../../src/node/routingControl';
import type { Clock } from './clock';
import type { Pattern, PatternTask } from './pattern';

/** One gateway, built from the production components. */
export interface EmulatedGateway {
  readonly zone: string;
  readonly chooser: EndpointChooser;
  readonly loads: EndpointLoads;
  readonly cacheEstimates: PrefixCacheEstimates;
  readonly admission: ScarcityAdmission;
  /**
   * Reports the load of this gateway to the aggregator and returns a function that applies that of
   * the other gateways.
   */
  readonly exchange: (aggregator: LoadAggregator, now: number) => () => void;
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
  const chooser = createEndpointChooser({
    zone,
    sessionMs: 5_000,
    exposureShare: 0.1,
    coldPermits: { isWarm: () => true, canSend: () => true, computeRetryMs: () => 0 },
    limits: { canSend: () => true },
    backoffs: { findEnd: () => undefined },
    loads,
    cacheEstimates,
    sessions: createSessionVersions(5_000),
    registry,
  });
  let cursor: PromptCursor | undefined;
  return {
    zone,
    chooser,
    loads,
    cacheEstimates,
    admission,
    exchange: (aggregator, now) => {
      const own = {
        gateway: `g-${index}`,
        loads: loads.listOwn(now),
        reads: cacheEstimates.drainDispatched(),
      };
      const answer = aggregator.exchange({ ...own, cursor }, now);
      cursor = answer.cursor;
      return () => {
        loads.updatePeerLoads(answer.loads, now);
        cacheEstimates.applyPeerPrompts(answer.reads);
        admission.recordExchange();
      };
    },
    removeEndpoint: (id) => {
      endpoints = endpoints.filter(({ report }) => report.id !== id);
    },
  };
};
