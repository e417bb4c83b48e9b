import test from 'ava';
import { createDevInventory } from '../../dev';
import type { Rollout } from '../../view';
import { applyRolloutAction, type RolloutChange } from '../rolloutActions';

const createRollout = (state: Rollout['state']): Rollout => ({
  model: 'small',
  from: 'v1',
  to: 'v2',
  step: 2,
  state,
  reason: '',
});

const CASES: readonly {
  readonly title: string;
  readonly current?: Rollout['state'];
  readonly change: Partial<RolloutChange>;
  readonly isWithdrawn?: boolean;
  readonly answer: string;
}[] = [
  { title: 'start', change: { version: 'v2' }, answer: 'v1 v2 0 running' },
  {
    title: 'start after an abort',
    current: 'aborted',
    change: { version: 'v2' },
    answer: 'v1 v2 0 running',
  },
  {
    title: 'start while another is in progress',
    current: 'paused',
    change: { version: 'v2' },
    answer: 'small@v2 is being rolled out',
  },
  {
    title: 'start the stable version',
    change: { version: 'v1' },
    answer: 'small@v1 is the stable version',
  },
  {
    title: 'start an unknown version',
    change: { version: 'v7' },
    answer: "model 'small' has no version 'v7'",
  },
  {
    title: 'start a withdrawn version',
    change: { version: 'v2' },
    isWithdrawn: true,
    answer: 'small@v2 is withdrawn',
  },
  {
    title: 'start an unknown model',
    change: { model: 'x', version: 'v1' },
    answer: "model 'x' does not exist",
  },
  { title: 'pause', current: 'running', change: { action: 'pause' }, answer: 'v1 v2 2 paused' },
  {
    title: 'resume at the same step',
    current: 'paused',
    change: { action: 'resume' },
    answer: 'v1 v2 2 running',
  },
  {
    title: 'resume a running roll-out',
    current: 'running',
    change: { action: 'resume' },
    answer: 'cannot resume a roll-out that is running',
  },
  { title: 'abort', current: 'paused', change: { action: 'abort' }, answer: 'v1 v2 2 aborted' },
  {
    title: 'abort without a roll-out',
    change: { action: 'abort' },
    answer: "no roll-out of 'small'",
  },
  {
    title: 'pause a finished roll-out',
    current: 'done',
    change: { action: 'pause' },
    answer: 'cannot pause a roll-out that is done',
  },
];

for (const { title, current, change, isWithdrawn = false, answer } of CASES) {
  test(`roll-out: ${title}`, (t) => {
    const result = applyRolloutAction(
      {
        id: 'change-1',
        inventory: createDevInventory(),
        current: current && createRollout(current),
        isWithdrawn: () => isWithdrawn,
      },
      { action: 'start', model: 'small', reason: '', ...change },
    );
    const text = result.caseOf({
      Left: (reason) => reason,
      Right: ({ from, to, step, state }) => `${from} ${to} ${step} ${state}`,
    });
    t.is(text, answer);
  });
}
