import test from 'ava';
import { checkHistory } from './history';
import { createSchedule, runSchedule } from './faults';

// More seeds run outside CI: npm run faults -- --seeds 200.
const SEEDS = [1, 2, 5] as const;
const TIMEOUT_MS = 110_000;
const LEAST_RUNS = 100;

SEEDS.forEach((seed) => {
  test.serial(`the schedule of seed ${seed} breaks no promise`, async (t) => {
    t.timeout(TIMEOUT_MS);
    const { history, failures } = await runSchedule(createSchedule(seed));
    t.deepEqual(failures, []);
    t.true(history.runs.length >= LEAST_RUNS);
    t.true(history.withdrawals.length > 0);
    checkHistory(history).forEach((violations, name) => t.deepEqual(violations, [], name));
  });
});
