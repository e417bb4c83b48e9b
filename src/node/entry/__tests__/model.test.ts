import test from 'ava';
import fc from 'fast-check';
import { ALL_RULES, type Rules } from './model/network';
import { CHECKS, type CheckName } from './model/oracle';
import { runModel } from './model/runModel';

const RUNS = Number(process.env.MODEL_RUNS ?? 150);
const SEED = Number(process.env.MODEL_SEED ?? 20_260_704);
const SEARCH_LIMIT = 400;

test('every guarantee holds over seeded schedules of loss, kills, freezes and retries', async (t) => {
  let requests = 0;
  let engineRuns = 0;
  let answers = 0;
  const property = fc.asyncProperty(fc.integer(), async (seed) => {
    const history = await runModel(seed, ALL_RULES);
    requests += history.calls.length;
    engineRuns += history.runs.length;
    answers += history.calls.filter((call) => call.answer !== undefined).length;
    const faults = Object.values(CHECKS).flatMap((check) => check(history));
    if (faults.length > 0) throw new Error(faults.join('; '));
  });
  await fc.assert(property, { seed: SEED, numRuns: RUNS, endOnFailure: true });
  t.true(answers > RUNS);
  t.log(`${RUNS} schedules, ${requests} calls, ${answers} answered, ${engineRuns} runs`);
});

const disabledRules: readonly (readonly [keyof Rules, CheckName])[] = [
  ['claims', 'runsPerKey'],
  ['tombstones', 'notRunIsTrue'],
  ['agentReports', 'billedOnce'],
  ['firstReportWins', 'billedOnce'],
  ['frameNumbering', 'ownAnswerWhole'],
  ['bindings', 'oneVersionPerSession'],
  ['endedIncarnations', 'deferredKept'],
  ['sessionOrder', 'deferredInOrder'],
];

disabledRules.forEach(([rule, check]) => {
  test(`without the rule '${rule}' the check '${check}' fails`, async (t) => {
    for (let seed = 1; seed <= SEARCH_LIMIT; seed += 1) {
      const history = await runModel(seed, { ...ALL_RULES, [rule]: false });
      const [fault] = CHECKS[check](history);
      if (fault !== undefined) {
        t.log(`seed ${seed}: ${fault}`);
        t.pass();
        return;
      }
    }
    t.fail(`no seed up to ${SEARCH_LIMIT} violates the check`);
  });
});
