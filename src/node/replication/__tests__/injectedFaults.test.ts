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
  /** The violation that the injected fault causes. */
  readonly violation: RegExp;
  /** The run of the seed that detects the fault. A search through all runs starts at 0. */
  readonly path: string;
}

const SEED = 1;
const RUNS = Number(process.env.SIMULATION_RUNS ?? 10);

const CASES: readonly FaultCase[] = [
  {
    title: 'missing store ids',
    injectedFaults: { ignoresStoreIds: true },
    runs: mixedArbitrary,
    violation: /two (entries|states|leaders)|append would overwrite a committed entry/,
    path: '70',
  },
  {
    title: 'reads without a quorum',
    injectedFaults: { readsWithoutQuorum: true },
    runs: mixedArbitrary,
    violation: /a read returned index/,
    path: '30',
  },
  {
    title: 'votes that are lost at a crash',
    injectedFaults: { forgetsVote: true },
    runs: restartArbitrary,
    violation: /two leaders/,
    path: '542',
  },
  {
    title: 'entries of older terms committed by counting replicas',
    injectedFaults: { commitsOlderTerms: true },
    runs: electionArbitrary,
    violation: /two (entries|states)|append would overwrite a committed entry/,
    path: '84',
  },
];

for (const { title, injectedFaults, runs, violation, path } of CASES) {
  test(`the simulation detects ${title}`, async (t) => {
    const property = fc.asyncProperty(runs, ({ commands, seed, size }) =>
      runSimulation(commands, { seed, size, injectedFaults }),
    );
    const parameters = { seed: SEED, path: process.env.SIMULATION_PATH ?? path, numRuns: RUNS };
    const details = await fc.check(property, { ...parameters, endOnFailure: true });
    t.regex(String(details.errorInstance), violation);
    t.log(`run ${details.counterexamplePath}: ${String(details.errorInstance).split('\n')[0]}`);
  });
}
