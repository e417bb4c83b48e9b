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
  /** Whether the session may have started before this roll-out. */
  readonly mayPredateRollout: boolean;
  /** Largest share of the traffic for a version that has not passed the canary stage. */
  readonly exposureShare: number;
}

/** What decided the version of a request. */
export type VersionReason =
  'no roll-out' | 'roll-out completed' | 'session' | 'session may predate the roll-out' | 'draw';

/** The versions that may answer. Allowed versions serve as a fallback for the preferred ones. */
export interface VersionChoice {
  readonly reason: VersionReason;
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

const computeVersionDraw = ({ service, target }: ServiceRollout, hashKey: string): number =>
  computeDraw('version', service, target, hashKey);

/**
 * Returns whether the canary stage gives the new version to a session, if the session is new. All
 * gateways return the same.
 */
export const isCanarySession = (
  rollout: ServiceRollout,
  session: string,
  exposureShare: number,
): boolean => computeVersionDraw(rollout, session) < computeStageShare('canary', exposureShare);

interface TargetDecision {
  readonly isWanted: boolean;
  readonly reason: VersionReason;
}

const chooseTargetVersion = (
  input: ServiceVersionInput,
  rollout: ServiceRollout,
): TargetDecision => {
  const { sessionVersion, mayPredateRollout, hashKey, exposureShare } = input;
  const share = computeStageShare(rollout.stage, exposureShare);
  const isCanary = rollout.stage === 'canary';
  if (sessionVersion !== undefined && isCanary) {
    return { isWanted: sessionVersion === rollout.target, reason: 'session' };
  }
  if (sessionVersion === rollout.target && share > 0) return { isWanted: true, reason: 'session' };
  if (mayPredateRollout && isCanary) {
    return { isWanted: false, reason: 'session may predate the roll-out' };
  }
  return { isWanted: computeVersionDraw(rollout, hashKey) < share, reason: 'draw' };
};

// Endpoints of a new version may be known before its roll-out is.
const chooseWithoutRollout = (
  { sessionVersion }: ServiceVersionInput,
  isAllowed: (version: string) => boolean,
): VersionChoice => {
  if (sessionVersion === undefined || !isAllowed(sessionVersion)) {
    return { reason: 'no roll-out', isPreferred: isAllowed, isAllowed };
  }
  return { reason: 'session', isPreferred: (version) => version === sessionVersion, isAllowed };
};

/** Chooses the version of a service for one request. */
export const chooseServiceVersion = (input: ServiceVersionInput): VersionChoice => {
  const { rollout, retired } = input;
  const isAllowed = (version: string): boolean => !retired.includes(version);
  if (!rollout || rollout.stage === 'rolledBack') return chooseWithoutRollout(input, isAllowed);
  const { target } = rollout;
  if (rollout.stage === 'completed') {
    const isTarget = (version: string): boolean => version === target;
    return { reason: 'roll-out completed', isPreferred: isTarget, isAllowed: isTarget };
  }
  const { isWanted, reason } = chooseTargetVersion(input, rollout);
  return {
    reason,
    isPreferred: (version) => isAllowed(version) && (version === target) === isWanted,
    isAllowed,
  };
};
