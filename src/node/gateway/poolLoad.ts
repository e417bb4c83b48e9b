import type { PoolLoad, RankTarget } from '../decisions';
import type { RouteTable } from '../routing';
import type { EndpointLoads } from './endpointLoads';
import type { RegistryView } from './registryView';

/** Options of a reader of pool loads. */
export interface PoolLoadOptions {
  readonly registry: Pick<RegistryView, 'listEndpoints'>;
  readonly loads: Pick<EndpointLoads, 'findOwn' | 'findReported'>;
}

/** Age above which the loads of the other gateways are not used, in milliseconds. */
const MAX_LOAD_AGE_MS = 1_000;

/** What is known about the loads of the other gateways. */
export interface PeerKnowledge {
  /** Age of their latest reports, in milliseconds. */
  readonly ageMs: number;
  readonly gatewayCount: number;
}

/**
 * Reads the load of the endpoints of a service. Without recent reports from the other gateways,
 * each of them is assumed to have as much work pending as this one.
 */
export const readPoolLoad = (
  { registry, loads }: PoolLoadOptions,
  service: string,
  { ageMs, gatewayCount }: PeerKnowledge,
  now: number,
): PoolLoad => {
  const isOwnOnly = ageMs > MAX_LOAD_AGE_MS;
  let endpoints = 0;
  let slots = 0;
  let running = 0;
  let pendingMs = 0;
  for (const { report, isReady } of registry.listEndpoints(service)) {
    if (!isReady) continue;
    const load = isOwnOnly ? loads.findOwn(report.id, now) : loads.findReported(report.id, now);
    endpoints += 1;
    slots += report.slots;
    running += load.running;
    pendingMs += load.readMs;
  }
  const factor = isOwnOnly ? Math.max(1, gatewayCount) : 1;
  return {
    endpoints,
    pendingMs: (factor * pendingMs) / Math.max(1, endpoints),
    // One long stream of this gateway says nothing about how many the others have.
    takenFraction: running / Math.max(1, slots),
    isOwnOnly,
    ageMs,
  };
};

const createRankTargets = (
  { config }: RouteTable,
  service: string,
): readonly RankTarget[] | undefined => {
  // The pending work of plain services is not known, and their calls are too short for reports.
  if (!config.services.find(({ name }) => name === service)?.engine) return undefined;
  const targets = config.routes
    .filter((route) => route.targets.some((target) => target.service === service))
    .map(({ rank, targetLatencyMs }) => ({ rank, targetMs: targetLatencyMs }));
  return new Set(targets.map(({ rank }) => rank)).size > 1 ? targets : undefined;
};

/** Finds the ranks and targets of a service's routes; undefined unless the ranks differ. */
export type FindRankTargets = (
  table: RouteTable,
  service: string,
) => readonly RankTarget[] | undefined;

/** Creates a lookup that keeps its answers for as long as the route table is in use. */
export const createRankTargetFinder = (): FindRankTargets => {
  const known = new WeakMap<RouteTable, Map<string, readonly RankTarget[] | undefined>>();
  return (table, service) => {
    const byService = known.get(table) ?? new Map<string, readonly RankTarget[] | undefined>();
    known.set(table, byService);
    if (!byService.has(service)) byService.set(service, createRankTargets(table, service));
    return byService.get(service);
  };
};
