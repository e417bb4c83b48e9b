import test from 'ava';
import { checkHistory } from './history';
import { createSchedule, runSchedule, type Schedule } from './faults';

// To run more seeds outside CI: npm run faults -- --seeds 200.
const SEEDS = [1, 2, 3, 5, 6, 39] as const;
const TIMEOUT_MS = 110_000;
const MIN_RUNS = 100;

SEEDS.forEach((seed) => {
  test.serial(`the fault schedule of seed ${seed} violates no guarantee`, async (t) => {
    t.timeout(TIMEOUT_MS);
    const { history, failures, logs } = await runSchedule(createSchedule(seed));
    t.deepEqual(failures, []);
    t.true(history.runs.length >= MIN_RUNS);
    t.true(history.withdrawals.length > 0);
    const results = checkHistory(history);
    if ([...results.values()].some((violations) => violations.length > 0)) {
      logs.forEach((text, name) => t.log(`${name}: ${text}`));
    }
    results.forEach((violations, name) => t.deepEqual(violations, [], name));
  });
});

// Guards against checks that detect nothing: with a lease this long, nodes that are cut off from
// control keep using an old configuration.
const EXCESSIVE_LEASE_MS = 60_000;
const ISOLATION_SCHEDULE: Schedule = {
  seed: 1,
  faults: ['entry-1', 'agent-1', 'agent-2'].map((node) => ({
    kind: 'cutControl',
    node,
    startMs: 0,
    durationMs: 14_000,
  })),
  withdrawMs: 500,
};

test.serial(
  'the checks detect the violations that an excessive lease duration causes',
  async (t) => {
    t.timeout(TIMEOUT_MS);
    const { history } = await runSchedule(ISOLATION_SCHEDULE, EXCESSIVE_LEASE_MS);
    const found = [...checkHistory(history)].filter(([, violations]) => violations.length > 0);
    const names = found.map(([name]) => name);
    t.true(names.includes('a withdrawn version gets no new work'));
    t.true(names.includes('an accepted configuration is in force within the time limit'));
  },
);
