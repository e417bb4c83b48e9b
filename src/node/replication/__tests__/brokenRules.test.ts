import test from 'ava';
import fc from 'fast-check';
import type { BrokenSimulation } from './simulation';
import { mixedArbitrary, runSimulation } from './simulationCommands';

interface BrokenCase {
  readonly title: string;
  readonly broken: BrokenSimulation;
  readonly seed: number;
  /** The violation that the broken rule brings about. */
  readonly finds: RegExp;
  readonly runs: typeof mixedArbitrary;
}

const RUNS = Number(process.env.SIMULATION_RUNS ?? 400);

const CASES: readonly BrokenCase[] = [
  {
    title: 'no store id',
    broken: { ignoresStoreIds: true },
    seed: 1,
    finds: /two (entries|states|leaders)/,
    runs: mixedArbitrary,
  },
  {
    title: 'a read without a quorum',
    broken: { readsWithoutQuorum: true },
    seed: 1,
    finds: /a read gave/,
    runs: mixedArbitrary,
  },
];

for (const { title, broken, seed, finds, runs } of CASES) {
  test(`the checks find ${title}`, async (t) => {
    const property = fc.asyncProperty(runs, ({ commands, seed: network, size }) =>
      runSimulation(commands, { seed: network, size, broken }),
    );
    const details = await fc.check(property, { seed, numRuns: RUNS, endOnFailure: true });
    t.true(details.failed, `not found in ${RUNS} runs`);
    t.regex(String(details.errorInstance), finds);
    t.log(`run ${details.numRuns}: ${String(details.errorInstance).split('\n')[0]}`);
  });
}
