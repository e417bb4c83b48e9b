import test from 'ava';
import fc from 'fast-check';
import type { BrokenSimulation } from './simulation';
import {
  electionArbitrary,
  mixedArbitrary,
  restartArbitrary,
  runSimulation,
} from './simulationCommands';

interface BrokenCase {
  readonly title: string;
  readonly broken: BrokenSimulation;
  readonly runs: typeof mixedArbitrary;
  /** The violation that the injected fault causes. */
  readonly finds: RegExp;
  /** The run of the seed that detects the fault. A search through all runs starts at 0. */
  readonly path: string;
}

const SEED = 1;
const RUNS = Number(process.env.SIMULATION_RUNS ?? 10);

const CASES: readonly BrokenCase[] = [
  {
    title: 'missing store ids',
    broken: { ignoresStoreIds: true },
    runs: mixedArbitrary,
    finds: /two (entries|states|leaders)|append would overwrite a committed entry/,
    path: '70',
  },
  {
    title: 'reads without a quorum',
    broken: { readsWithoutQuorum: true },
    runs: mixedArbitrary,
    finds: /a read returned index/,
    path: '30',
  },
  {
    title: 'votes that are lost at a crash',
    broken: { forgetsVote: true },
    runs: restartArbitrary,
    finds: /two leaders/,
    path: '542',
  },
  {
    title: 'entries of older terms committed by counting replicas',
    broken: { commitsOlderTerms: true },
    runs: electionArbitrary,
    finds: /two (entries|states)|append would overwrite a committed entry/,
    path: '84',
  },
];

for (const { title, broken, runs, finds, path } of CASES) {
  test(`the simulation detects ${title}`, async (t) => {
    const property = fc.asyncProperty(runs, ({ commands, seed, size }) =>
      runSimulation(commands, { seed, size, broken }),
    );
    const parameters = { seed: SEED, path: process.env.SIMULATION_PATH ?? path, numRuns: RUNS };
    const details = await fc.check(property, { ...parameters, endOnFailure: true });
    t.regex(String(details.errorInstance), finds);
    t.log(`run ${details.counterexamplePath}: ${String(details.errorInstance).split('\n')[0]}`);
  });
}
