import { formatRolloutName } from '../../decisions';
import type { Rollout, ViewEntry } from '../../view';
import type { ConfigCommand } from '../configState';
import { commit, type ControlContext } from '../controlContext';
import type { RolloutGuard } from './rolloutGuard';

type RolloutCommand = Extract<ConfigCommand, { readonly type: 'withdraw' | 'advanceRollout' }>;

const listRollouts = (context: ControlContext): readonly Rollout[] =>
  context.configState
    .readUpdate(0, { role: 'entry', host: '' })
    .entries.filter((entry): entry is ViewEntry<'rollout'> => entry.kind === 'rollout')
    .flatMap((entry) => (entry.value ? [entry.value] : []));

const createCommand = (
  context: ControlContext,
  guard: RolloutGuard,
  rollout: Rollout,
): RolloutCommand | undefined => {
  const { configState } = context;
  const rules = configState.inventory()?.rules.rollout;
  if (!rules || rollout.state === 'aborted') return undefined;
  const verdict = guard.judge(rollout, rules);
  if (verdict.type === 'hold') return undefined;
  const { model, to: version, step } = rollout;
  const { reason } = verdict;
  if (verdict.type === 'withdraw') {
    const changeId = `withdraw-${formatRolloutName(rollout)}`;
    const withdrawal = { model, version, reason };
    return { type: 'withdraw', base: configState.revision(), changeId, withdrawal };
  }
  const next: Rollout =
    verdict.type === 'finish'
      ? { ...rollout, state: 'done', reason }
      : { ...rollout, step: step + 1, reason };
  return { type: 'advanceRollout', from: rollout, to: next };
};

/** Judges every roll-out and commits the outcome: the next step, completion or withdrawal. */
export const judgeRollouts = async (
  context: ControlContext,
  guard: RolloutGuard,
  entries: ReadonlySet<string>,
): Promise<void> => {
  const rollouts = listRollouts(context);
  guard.removeUnlisted(rollouts, entries);
  for (const rollout of rollouts) {
    const command = createCommand(context, guard, rollout);
    if (!command) continue;
    const result = await commit(context, command);
    const { model, to, step } = rollout;
    const { type } = command;
    context.log.info(
      { model, version: to, step, command: type, result: result.type },
      'roll-out judged',
    );
  }
};
