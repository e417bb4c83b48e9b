import test from 'ava';
import fc from 'fast-check';
import { createSimulation } from './simulation';
import {
  electionArbitrary,
  mixedArbitrary,
  runSimulation,
  type Totals,
} from './simulationCommands';

const SEED = 20_261_204;
const FORM_RUNS = 20;
const FORM_STEPS = 600;
const RUNS = Number(process.env.SIMULATION_RUNS ?? 60);

const CASES = [
  { title: 'all kinds of faults', runs: mixedArbitrary },
  { title: 'many elections and crashes', runs: electionArbitrary },
] as const;

for (const { title, runs } of CASES) {
  test(`with ${title}, entries are kept, terms have one leader and reads are current`, async (t) => {
    const totals: Record<string, number> = {};
    const addTotals = (run: Totals): void =>
      Object.entries(run).forEach(([name, count]) => {
        totals[name] = (totals[name] ?? 0) + count;
      });
    const property = fc.asyncProperty(runs, ({ commands, seed, size }) =>
      runSimulation(commands, { seed, size }, addTotals),
    );
    const seed = Number(process.env.SIMULATION_SEED ?? SEED);
    await t.notThrowsAsync(fc.assert(property, { seed, numRuns: RUNS, endOnFailure: true }));
    t.log(JSON.stringify(totals));
  });
}

test('a group that forms while messages are lost includes every host as a voter', async (t) => {
  for (let seed = 1; seed <= FORM_RUNS; seed += 1) {
    const simulation = createSimulation({ seed, size: 3 });
    simulation.updateNetworkConditions({ loss: 0.5, duplication: 0.2, delay: 10 });
    await simulation.run(FORM_STEPS);
    await simulation.settle();
    t.deepEqual(simulation.oracle.violations, [], `seed ${seed}`);
  }
});
