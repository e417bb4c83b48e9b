import test from 'ava';
import fc from 'fast-check';
import type { SimulationFaults } from './simulation';
import {
  electionArbitrary,
  mixedArbitrary,
  restartArbitrary,
  runSimulation,
} from './simulationCommands';

interface FaultCase {
  readonly title: string;
  readonly injectedFaults: SimulationFaults;
  readonly runs: typeof mixedArbitrary;
  /** The violation that the broken rule brings about. */
  readonly violation: RegExp;
  /** The run of the seed that finds it; a search of all runs begins at 0. */
  readonly path: string;
}

const SEED = 1;
const RUNS = Number(process.env.SIMULATION_RUNS ?? 10);

const CASES: readonly FaultCase[] = [
  {
    title: 'no store id',
    injectedFaults: { ignoresStoreIds: true },
    runs: mixedArbitrary,
    violation: /two (entries|states|leaders)|a committed entry/,
    path: '70',
  },
  {
    title: 'a read without a quorum',
    injectedFaults: { readsWithoutQuorum: true },
    runs: mixedArbitrary,
    violation: /a read gave/,
    path: '30',
  },
  {
    title: 'a vote that is not synced',
    injectedFaults: { forgetsVote: true },
    runs: restartArbitrary,
    violation: /two leaders/,
    path: '542',
  },
  {
    title: 'an older term committed by count',
    injectedFaults: { commitsOlderTerms: true },
    runs: electionArbitrary,
    violation: /two (entries|states)|a committed entry/,
    path: '84',
  },
];

for (const { title, injectedFaults: broken, runs, violation: finds, path } of CASES) {
  test(`the checks find ${title}`, async (t) => {
    const property = fc.asyncProperty(runs, ({ commands, seed, size }) =>
      runSimulation(commands, { seed, size, injectedFaults: broken }),
    );
    const parameters = { seed: SEED, path: process.env.SIMULATION_PATH ?? path, numRuns: RUNS };
    const details = await fc.check(property, { ...parameters, endOnFailure: true });
    t.regex(String(details.errorInstance), finds);
    t.log(`run ${details.counterexamplePath}: ${String(details.errorInstance).split('\n')[0]}`);
  });
}
