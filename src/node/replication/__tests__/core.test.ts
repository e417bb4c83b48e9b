import test from 'ava';
import fc from 'fast-check';
import {
  electionArbitrary,
  mixedArbitrary,
  runSimulation,
  type Totals,
} from './simulationCommands';

const SEED = 20_261_204;
const RUNS = Number(process.env.SIMULATION_RUNS ?? 60);

const CASES = [
  { title: 'whatever fails', runs: mixedArbitrary },
  { title: 'whatever elections meet', runs: electionArbitrary },
] as const;

for (const { title, runs } of CASES) {
  test(`${title}, entries stay, terms have one leader and reads are current`, async (t) => {
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
