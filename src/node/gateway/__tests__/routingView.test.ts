import test from 'ava';
import { formatRolloutKey, resolveStartTimes } from '../routingView';

const ROLLOUT = { service: 's', target: 'v2', durationMs: 24_000, stage: 'canary' } as const;
const KEY = formatRolloutKey(ROLLOUT);

const cases = [
  { name: 'no host knows it yet', known: undefined, ageMs: undefined, startedAt: 10_000 },
  { name: 'the gateway started later', known: undefined, ageMs: 9_000, startedAt: 1_000 },
  { name: 'the control host started later', known: 2_000, ageMs: 500, startedAt: 2_000 },
  { name: 'the control host knew it earlier', known: 2_000, ageMs: 8_100, startedAt: 1_900 },
] as const;

for (const { name, known, ageMs, startedAt } of cases) {
  test(`start time of a roll-out: ${name}`, (t) => {
    const times = resolveStartTimes({
      rollouts: [ROLLOUT],
      ages: ageMs === undefined ? [] : [{ service: 's', target: 'v2', ageMs }],
      known: known === undefined ? undefined : new Map([[KEY, known]]),
      now: 10_000,
    });
    t.is(times.get(KEY), startedAt);
  });
}
