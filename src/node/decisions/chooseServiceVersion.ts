import murmurhash from 'murmurhash';
import type { RouteTarget, ServiceRollout } from '../routing';
import { computeStageShare } from './serviceRollout';

// Load pattern: conversations of several requests under way while a new version is brought in; a
// conversation stays on its version at least through the first half of the roll-out.

/** What decides which version of a service answers a request. */
export interface ServiceVersionInput {
  readonly rollout: ServiceRollout | undefined;
  /** Versions that were rolled back or replaced. */
  readonly retired: readonly string[];
  /** The session, or the request when it belongs to none. */
  readonly hashKey: string;
  /** Version of the session's latest request, if that was not long ago. */
  readonly sessionVersion: string | undefined;
  /** Whether a session may have begun before this roll-out at another gateway. */
  readonly mayPredateRollout: boolean;
  /** Share of the traffic that an unproved version may get at most. */
  readonly exposureShare: number;
}

/** Which versions may answer: those preferred, or else those allowed. */
export interface VersionChoice {
  readonly isPreferred: (version: string) => boolean;
  readonly isAllowed: (version: string) => boolean;
}

const HASH_RANGE = 2 ** 32;

const computeDraw = (...parts: readonly string[]): number =>
  murmurhash.v3(parts.join('|')) / HASH_RANGE;

/** Chooses among a route's services by their weights; a subject always draws the same. */
export const chooseWeightedService = (targets: readonly RouteTarget[], subject: string): string => {
  const total = targets.reduce((sum, target) => sum + target.weight, 0);
  let left = computeDraw('service', subject) * total;
  for (const { service, weight } of targets) {
    left -= weight;
    if (left < 0) return service;
  }
  return targets.at(-1)!.service;
};

const isTargetWanted = (question: ServiceVersionInput, rollout: ServiceRollout): boolean => {
  const {
    sessionVersion,
    mayPredateRollout: mayBeOlder,
    hashKey: subject,
    exposureShare,
  } = question;
  const share = computeStageShare(rollout.stage, exposureShare);
  const isEarly = rollout.stage === 'canary';
  if (sessionVersion !== undefined && isEarly) return sessionVersion === rollout.target;
  if (sessionVersion === rollout.target && share > 0) return true;
  if (mayBeOlder && isEarly) return false;
  return computeDraw('version', rollout.service, rollout.target, subject) < share;
};

/** Chooses the version of a service for one request. */
export const chooseServiceVersion = (question: ServiceVersionInput): VersionChoice => {
  const { rollout, retired } = question;
  const isAllowed = (version: string): boolean => !retired.includes(version);
  if (!rollout || rollout.stage === 'rolledBack') return { isPreferred: isAllowed, isAllowed };
  const { target } = rollout;
  if (rollout.stage === 'completed') {
    const isTarget = (version: string): boolean => version === target;
    return { isPreferred: isTarget, isAllowed: isTarget };
  }
  const isWanted = isTargetWanted(question, rollout);
  return {
    isPreferred: (version) => isAllowed(version) && (version === target) === isWanted,
    isAllowed,
  };
};
