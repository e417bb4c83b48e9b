import murmurhash from 'murmurhash';
import type { RouteTarget, ServiceRollout } from '../routing';
import { computeStageShare } from './serviceRollout';

// Load pattern: sessions of several requests continue while a new version is rolled out. A session
// keeps its version for at least the first half of the roll-out.

/** Input for the choice of a service version. */
export interface ServiceVersionInput {
  readonly rollout: ServiceRollout | undefined;
  /** Versions that were rolled back or replaced. */
  readonly retired: readonly string[];
  /** Session id, or request id for a request without a session; hashed for the version draw. */
  readonly hashKey: string;
  /** Version of the session's latest request, if that request was recent. */
  readonly sessionVersion: string | undefined;
  /** Whether the session may have started before this roll-out at another gateway. */
  readonly mayPredateRollout: boolean;
  /** Largest share of the traffic for a version that has not passed the canary stage. */
  readonly exposureShare: number;
}

/** The versions that may answer. Allowed versions serve as a fallback for the preferred ones. */
export interface VersionChoice {
  readonly isPreferred: (version: string) => boolean;
  readonly isAllowed: (version: string) => boolean;
}

const HASH_RANGE = 2 ** 32;

const computeDraw = (...parts: readonly string[]): number =>
  murmurhash.v3(parts.join('|')) / HASH_RANGE;

/** Chooses one of a route's services by weight. The same subject always gets the same service. */
export const chooseWeightedService = (targets: readonly RouteTarget[], hashKey: string): string => {
  const total = targets.reduce((sum, target) => sum + target.weight, 0);
  let remaining = computeDraw('service', hashKey) * total;
  for (const { service, weight } of targets) {
    remaining -= weight;
    if (remaining < 0) return service;
  }
  return targets.at(-1)!.service;
};

const isTargetWanted = (input: ServiceVersionInput, rollout: ServiceRollout): boolean => {
  const { sessionVersion, mayPredateRollout, hashKey, exposureShare } = input;
  const share = computeStageShare(rollout.stage, exposureShare);
  const isCanary = rollout.stage === 'canary';
  if (sessionVersion !== undefined && isCanary) return sessionVersion === rollout.target;
  if (sessionVersion === rollout.target && share > 0) return true;
  if (mayPredateRollout && isCanary) return false;
  return computeDraw('version', rollout.service, rollout.target, hashKey) < share;
};

/** Chooses the version of a service for one request. */
export const chooseServiceVersion = (input: ServiceVersionInput): VersionChoice => {
  const { rollout, retired } = input;
  const isAllowed = (version: string): boolean => !retired.includes(version);
  if (!rollout || rollout.stage === 'rolledBack') return { isPreferred: isAllowed, isAllowed };
  const { target } = rollout;
  if (rollout.stage === 'completed') {
    const isTarget = (version: string): boolean => version === target;
    return { isPreferred: isTarget, isAllowed: isTarget };
  }
  const isWanted = isTargetWanted(input, rollout);
  return {
    isPreferred: (version) => isAllowed(version) && (version === target) === isWanted,
    isAllowed,
  };
};
