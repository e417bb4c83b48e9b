import { fileURLToPath } from 'node:url';
import test from 'ava';
import { runEmulation, type Outcome } from '../emulate';
import { computeBenefit, computeFigures } from '../figures';
import { readPattern, type Pattern } from '../pattern';

const readNamed = (name: string, seconds: number): Pattern => ({
  ...readPattern(fileURLToPath(new URL(`../patterns/${name}.jsonc`, import.meta.url))),
  seconds,
});

const small = readNamed('small', 25);
const SEED = 7;

const countInTime = (outcomes: readonly Outcome[], rank: number): number => {
  const list = outcomes.filter(({ request }) => request.task.rank === rank);
  return (
    list.filter((item) => item.firstTokenMs <= item.request.task.targetMs).length / list.length
  );
};

const countEarned = (outcomes: readonly Outcome[]): number =>
  outcomes.reduce((sum, outcome) => sum + computeBenefit(outcome), 0);

test('the same options give the same outcomes', (t) => {
  const options = { pattern: { ...small, seconds: 5 }, policy: 'live', load: 1, seed: SEED };
  t.deepEqual(
    runEmulation(options).outcomes.map(({ request, firstTokenMs }) => [request.id, firstTokenMs]),
    runEmulation(options).outcomes.map(({ request, firstTokenMs }) => [request.id, firstTokenMs]),
  );
});

// From empty memories, the bounds of the plan: nine tenths of an oracle up to the capacity.
for (const load of [0.7, 1]) {
  test(`load ${load}: at least nine tenths of what an oracle earns`, (t) => {
    const [live, oracle] = ['live', 'oracle'].map((policy) =>
      computeFigures(runEmulation({ pattern: small, policy, load, seed: SEED })),
    );
    t.true(live!.benefit >= 0.9 * oracle!.benefit, `${live!.benefit} of ${oracle!.benefit}`);
  });
}

// Shared beginnings and predicted first tokens are what overload is answered by.
test('load 1.5: more than every baseline', (t) => {
  const runPolicy = (policy: string): number =>
    computeFigures(runEmulation({ pattern: small, policy, load: 1.5, seed: SEED })).benefit;
  const live = runPolicy('live');
  for (const policy of ['random', 'least-in-flight', 'home-only', 'largest-always']) {
    t.true(live > runPolicy(policy), policy);
  }
  t.true(live > runPolicy('smallest-always'), 'smallest-always');
});

test('twice the load: no less is earned than at the capacity, the urgent go first', (t) => {
  const runAt = (load: number) =>
    runEmulation({ pattern: small, policy: 'live', load, seed: SEED }).outcomes;
  const outcomes = runAt(2);
  t.true(countEarned(outcomes) >= 0.95 * countEarned(runAt(1)));
  // Prices begin where the more urgent are served less often by over 5 in 100.
  const shares = [0, 1, 2].map((rank) => countInTime(outcomes, rank));
  t.true(shares[0]! >= shares[1]! - 0.05 && shares[1]! >= shares[2]! - 0.05, String(shares));
});

test('a burst and a hot organisation: the others get their part', (t) => {
  const pattern = readNamed('burst', 40);
  const figures = computeFigures(runEmulation({ pattern, policy: 'live', load: 1, seed: SEED }));
  t.true(figures.fairness >= 0.95, String(figures.fairness));
});
