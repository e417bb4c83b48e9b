import type { Model, Organisation, Task } from '../inventory';
import { RULES_NAME, type Rollout, type View } from '../view';
import { isVersionUsable } from './allowedVersions';
import { computeShare, isInShare } from './rollout';

/** What the choice of a version is asked. */
export interface VersionInput {
  readonly view: View;
  readonly organisation: Organisation;
  readonly task: Task;
  readonly zone: string;
  /** The session, or the request when it belongs to none. */
  readonly session: string;
  /** Says whether this entry has stopped a roll-out on its own. */
  readonly isHalted: (rollout: Rollout) => boolean;
}

const DEFAULT_STEPS: readonly number[] = [0.01, 0.05, 0.25, 1];

/** Names a roll-out, so that a second one of the same version is told from the first. */
export const formatRolloutName = (rollout: Rollout): string =>
  rollout.id ?? `${rollout.model}@${rollout.to}`;

const listStableVersions = (model: Model, rollout: Rollout | undefined): readonly string[] => {
  if (rollout?.state === 'done') return [rollout.to, rollout.from, model.stableVersion];
  if (rollout) return [rollout.from, model.stableVersion];
  return [model.stableVersion];
};

const isCandidateSampled = (question: VersionInput, rollout: Rollout): boolean => {
  const { view, organisation, task, zone, session } = question;
  const steps = view.find('rules', RULES_NAME)?.rollout.steps ?? DEFAULT_STEPS;
  const share = computeShare(steps, rollout.step, task.value === 'high');
  const name = formatRolloutName(rollout);
  return isInShare({ rollout: name, organisation: organisation.name, zone, session }, share);
};

/** Says whether a roll-out still draws new sessions; a paused one stays at its step. */
export const isRolloutOpen = (rollout: Rollout | undefined): rollout is Rollout =>
  rollout?.state === 'running' || rollout?.state === 'paused';

/** Chooses the version of a model for a new session; nothing when none is usable. */
export const chooseVersion = (question: VersionInput, model: Model): string | undefined => {
  const { view, organisation, isHalted: isBraked } = question;
  const rollout = view.find('rollout', model.name);
  const isUsable = (version: string): boolean =>
    isVersionUsable(view, organisation, model.name, version);
  const stable = listStableVersions(model, rollout)
    .filter((version) => rollout === undefined || version !== rollout.to || !isBraked(rollout))
    .find(isUsable);
  if (!isRolloutOpen(rollout) || isBraked(rollout) || !isUsable(rollout.to)) return stable;
  return isCandidateSampled(question, rollout) ? rollout.to : stable;
};
