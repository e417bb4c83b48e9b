import type { KnownEndpoint } from '../registry';
import type { RolloutStage } from '../routing';
import type { RoutingSnapshot } from './routingView';

/** Stages in which most of the traffic stays with the endpoints of the earlier versions. */
const EARLY_STAGES: ReadonlySet<RolloutStage> = new Set(['canary', 'early', 'rolledBack']);
/** Stages in which all of the traffic goes to the endpoints of the new version. */
const LATE_STAGES: ReadonlySet<RolloutStage> = new Set(['full', 'completed']);

/** What decides which endpoints of a service take its traffic. */
export type PoolSnapshot = Pick<RoutingSnapshot, 'rollouts' | 'evacuatedZones'>;

/**
 * Lists the endpoints that most requests for a service may go to. Endpoints of a version with little
 * traffic are idle, and would hide that the others are full.
 */
export const listPoolEndpoints = (
  { rollouts, evacuatedZones }: PoolSnapshot,
  service: string,
  endpoints: readonly KnownEndpoint[],
): readonly KnownEndpoint[] => {
  const rollout = rollouts.find((item) => item.service === service);
  const isInUse = (version: string): boolean => {
    if (!rollout) return true;
    if (EARLY_STAGES.has(rollout.stage)) return version !== rollout.target;
    return !LATE_STAGES.has(rollout.stage) || version === rollout.target;
  };
  const usable = endpoints.filter(({ report }) => !evacuatedZones.has(report.zone));
  const inUse = usable.filter(({ report }) => isInUse(report.version));
  return inUse.length > 0 ? inUse : usable;
};
