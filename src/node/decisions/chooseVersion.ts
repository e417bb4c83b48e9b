import type { Model, Organisation, Task } from '../inventory';
import { RULES_NAME, type Rollout, type View } from '../view';
import { isVersionUsable } from './allowedVersions';
import { computeShare, isInShare } from './rollout';

/** Input for the choice of a version. */
export interface VersionInput {
  readonly view: View;
  readonly organisation: Organisation;
  readonly task: Task;
  readonly zone: string;
  /** Session id, or request id for a request without a session. */
  readonly session: string;
  /** Checks whether this entry has halted a roll-out by its own observations. */
  readonly isHalted: (rollout: Rollout) => boolean;
}

const DEFAULT_STEPS: readonly number[] = [0.01, 0.05, 0.25, 1];

/** Formats the name of a roll-out, which differs between two roll-outs of the same version. */
export const formatRolloutName = (rollout: Rollout): string =>
  rollout.id ?? `${rollout.model}@${rollout.to}`;

const listStableVersions = (model: Model, rollout: Rollout | undefined): readonly string[] => {
  if (rollout?.state === 'done') return [rollout.to, rollout.from, model.stableVersion];
  if (rollout) return [rollout.from, model.stableVersion];
  return [model.stableVersion];
};

const isCandidateSampled = (input: VersionInput, rollout: Rollout): boolean => {
  const { view, organisation, task, zone, session } = input;
  const steps = view.find('rules', RULES_NAME)?.rollout.steps ?? DEFAULT_STEPS;
  const share = computeShare(steps, rollout.step, task.value === 'high');
  const name = formatRolloutName(rollout);
  return isInShare({ rollout: name, organisation: organisation.name, zone, session }, share);
};

/** Checks whether a roll-out still receives new sessions; a paused one stays at its step. */
export const isRolloutOpen = (rollout: Rollout | undefined): rollout is Rollout =>
  rollout?.state === 'running' || rollout?.state === 'paused';

/** Chooses the version of a model for a new session; returns nothing when none is usable. */
export const chooseVersion = (input: VersionInput, model: Model): string | undefined => {
  const { view, organisation, isHalted } = input;
  const rollout = view.find('rollout', model.name);
  const isUsable = (version: string): boolean =>
    isVersionUsable(view, organisation, model.name, version);
  const stable = listStableVersions(model, rollout)
    .filter((version) => rollout === undefined || version !== rollout.to || !isHalted(rollout))
    .find(isUsable);
  if (!isRolloutOpen(rollout) || isHalted(rollout) || !isUsable(rollout.to)) return stable;
  return isCandidateSampled(input, rollout) ? rollout.to : stable;
};
