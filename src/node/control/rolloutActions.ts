import { Left, Right, type Either } from 'purify-ts';
import type { Inventory } from '../inventory';
import type { RolloutAction } from '../shared';
import type { Rollout } from '../view';

/** An operator's change to the roll-out of a model. */
export interface RolloutChange {
  readonly action: RolloutAction;
  readonly model: string;
  /** Version to roll out. Used by `start` only. */
  readonly version?: string;
  readonly reason: string;
}

/** State that determines the result of a roll-out change. */
export interface RolloutContext {
  /** Id of a roll-out that is started. */
  readonly id: string;
  readonly inventory: Inventory | undefined;
  readonly current: Rollout | undefined;
  readonly isWithdrawn: (model: string, version: string) => boolean;
}

type ActionHandler = (context: RolloutContext, change: RolloutChange) => Either<string, Rollout>;

const isInProgress = (rollout: Rollout | undefined): rollout is Rollout =>
  rollout?.state === 'running' || rollout?.state === 'paused';

const startRollout: ActionHandler = (context, { model: name, version, reason }) => {
  const { inventory, current, isWithdrawn } = context;
  const model = inventory?.models.find((item) => item.name === name);
  if (!model) return Left(`model '${name}' does not exist`);
  const to = model.versions.find((item) => item.name === version);
  if (!to) return Left(`model '${name}' has no version '${version ?? ''}'`);
  if (to.state !== 'active') return Left(`${name}@${to.name} is ${to.state}`);
  if (isWithdrawn(name, to.name)) return Left(`${name}@${to.name} is withdrawn`);
  if (to.name === model.stableVersion) return Left(`${name}@${to.name} is the stable version`);
  if (isInProgress(current)) return Left(`${name}@${current.to} is being rolled out`);
  return Right({
    id: context.id,
    model: name,
    from: model.stableVersion,
    to: to.name,
    step: 0,
    state: 'running',
    reason,
  });
};

const createTransition =
  (from: readonly Rollout['state'][], state: Rollout['state']): ActionHandler =>
  ({ current }, { model, action, reason }) => {
    if (!current) return Left(`no roll-out of '${model}'`);
    if (!from.includes(current.state)) {
      return Left(`cannot ${action} a roll-out that is ${current.state}`);
    }
    return Right({ ...current, state, reason });
  };

const HANDLERS: Readonly<Record<RolloutAction, ActionHandler>> = {
  start: startRollout,
  pause: createTransition(['running'], 'paused'),
  resume: createTransition(['paused'], 'running'),
  abort: createTransition(['running', 'paused'], 'aborted'),
};

/**
 * Applies an operator's action to a roll-out. Returns the reason as `Left` if the action is not
 * possible.
 */
export const applyRolloutAction: ActionHandler = (context, change) =>
  HANDLERS[change.action](context, change);
