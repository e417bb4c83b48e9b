import {
  createPrefixCacheEstimates,
  createEndpointChooser,
  createEndpointLoads,
  createServiceSpeeds,
  createSessionVersions,
  type PrefixCacheEstimates,
  type EndpointChooser,
  type EndpointLoads,
  type ServiceSpeeds,
  type RoutingFacts,
} from '../../src/node/gateway';
import type { EndpointReport } from '../../src/node/registry';
import { createRouteTable, type Route } from '../../src/node/routing';
import type {
  LoadAggregator,
  PromptCursor,
  SpeedCursor,
  SpeedTable,
} from '../../src/node/routingControl';
import type { Pattern } from './pattern';
import type { EmulatedRequest } from './requests';

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
  /** Reports what this gateway knows to the tables and applies what the other gateways know. */
  readonly exchange: (tables: EmulatedTables, now: number) => void;
}

const SERVICE = 'engines';

/** Builds the route for the task of a request. */
export const createRoute = (pattern: Pattern, request: EmulatedRequest): Route => ({
  name: request.task.name,
  host: 'emulator',
  pathPrefix: `/${request.task.name}/`,
  kind: 'stream',
  timeoutMs: request.task.deadlineMs,
  targetLatencyMs: request.task.targetMs,
  gapTargetMs: undefined,
  rank: request.task.rank,
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
    routes: [],
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
): EmulatedGateway => {
  const zone = formatZone(pattern, index);
  const loads = createEndpointLoads();
  const cacheEstimates = createPrefixCacheEstimates(() => pattern.engine.cacheTokens);
  const endpoints = reports.map((report) => ({ report, isReady: true }));
  const speeds = createServiceSpeeds(() => SERVICE);
  const chooser = createEndpointChooser({
    zone,
    sessionMs: 5_000,
    exposureShare: 0.1,
    limits: { canSend: () => true },
    backoffs: { findEnd: () => undefined },
    loads,
    cacheEstimates,
    speeds,
    sessions: createSessionVersions(5_000),
    registry: { listEndpoints: () => endpoints },
  });
  let cursor: PromptCursor | undefined;
  let speedCursor: SpeedCursor | undefined;
  return {
    zone,
    chooser,
    loads,
    cacheEstimates,
    speeds,
    exchange: ({ aggregator, speedTable }, now) => {
      const own = {
        gateway: `g-${index}`,
        loads: loads.listOwn(now),
        reads: cacheEstimates.drainDispatched(),
      };
      const answer = aggregator.exchange({ ...own, cursor }, now);
      loads.updatePeerLoads(answer.loads);
      cacheEstimates.applyPeerPrompts(answer.reads);
      cursor = answer.cursor;
      if (!speedTable) return;
      const report = { samples: speeds.drainSamples(), cursor: speedCursor };
      const shared = speedTable.share(report, now);
      speeds.applyShared(shared.speeds, now);
      speedCursor = shared.cursor;
    },
  };
};
