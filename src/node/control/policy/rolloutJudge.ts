import { formatRolloutName } from '../../decisions';
import type { Rollout, ViewEntry } from '../../view';
import type { ConfigCommand } from '../configState';
import { commit, type ControlContext } from '../controlContext';
import type { RolloutGuard } from './rolloutGuard';

type RolloutCommand = Extract<ConfigCommand, { readonly type: 'withdraw' | 'advanceRollout' }>;

const listRollouts = (parts: ControlContext): readonly Rollout[] =>
  parts.configState
    .readUpdate(0, { role: 'entry', host: '' })
    .entries.filter((entry): entry is ViewEntry<'rollout'> => entry.kind === 'rollout')
    .flatMap((entry) => (entry.value ? [entry.value] : []));

const createCommand = (
  parts: ControlContext,
  guard: RolloutGuard,
  rollout: Rollout,
): RolloutCommand | undefined => {
  const { configState } = parts;
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

/** Judges every roll-out and commits what follows: the next step, the end or the withdrawal. */
export const judgeRollouts = async (
  parts: ControlContext,
  guard: RolloutGuard,
  entries: ReadonlySet<string>,
): Promise<void> => {
  const rollouts = listRollouts(parts);
  guard.removeUnlisted(rollouts, entries);
  for (const rollout of rollouts) {
    const command = createCommand(parts, guard, rollout);
    if (!command) continue;
    const result = await commit(parts, command);
    const { model, to, step } = rollout;
    const { type } = command;
    parts.log.info(
      { model, version: to, step, command: type, result: result.type },
      'roll-out judged',
    );
  }
};
