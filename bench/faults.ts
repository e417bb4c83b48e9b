// Runs seeded fault schedules and checks the recorded histories:
// `npm run faults -- --seeds 200 [--from 1] [--verbose] [--logs]`.
import { parseArgs } from 'node:util';
import { checkHistory, CHECKS, type History } from '../src/node/__tests__/history';
import { createSchedule, runSchedule } from '../src/node/__tests__/faults';

const { values } = parseArgs({
  options: {
    seeds: { type: 'string', default: '10' },
    from: { type: 'string', default: '1' },
    verbose: { type: 'boolean', default: false },
    logs: { type: 'boolean', default: false },
  },
});

const SHOWN = 5;
const first = Number(values.from);
const last = first + Number(values.seeds) - 1;
const broken = new Map<string, number[]>();
const kinds = new Map<string, number>();
const ends = new Map<string, number>();
let calls = 0;
let runs = 0;
let seedsRun = 0;
let failures = 0;

const print = (line: string): void => console.log(line);

const addCount = (counts: Map<string, number>, name: string): void => {
  counts.set(name, (counts.get(name) ?? 0) + 1);
};

const formatCounts = (counts: ReadonlyMap<string, number>): string =>
  [...counts].map(([name, count]) => `${name} ${count}`).join(', ') || 'none';

const recordHistory = (history: History): void => {
  calls += history.calls.length;
  runs += history.runs.length;
  history.faults.forEach((fault) => addCount(kinds, fault.kind));
  history.calls.forEach(({ result }) => {
    const detail = result.type === 'failed' ? ` ${result.errorType}/${result.outcome}` : '';
    addCount(ends, `${result.type}${detail}`);
  });
};

const runSeed = async (seed: number): Promise<void> => {
  const schedule = createSchedule(seed);
  const { history, failures: failed, logs } = await runSchedule(schedule);
  seedsRun += 1;
  failures += failed.length;
  recordHistory(history);
  const found = [...checkHistory(history)].filter(([, items]) => items.length > 0);
  found.forEach(([name]) => broken.set(name, [...(broken.get(name) ?? []), seed]));
  const names = found.map(([name, items]) => `${name} (${items.length})`).join('; ') || 'kept';
  print(`seed ${seed}: ${history.calls.length} calls, ${history.runs.length} runs: ${names}`);
  failed.forEach((failure) => print(`  failed: ${failure}`));
  if (!values.verbose) return;
  print(`  ${JSON.stringify(schedule)}`);
  found.forEach(([, items]) => items.slice(0, SHOWN).forEach((item) => print(`  ${item}`)));
  history.calls
    .filter((call) => call.result.type === 'cut')
    .sort((a, b) => Number(b.kind === 'deferred') - Number(a.kind === 'deferred'))
    .slice(0, SHOWN)
    .forEach((call) => print(`  cut: ${JSON.stringify(call)}`));
  if (values.logs && found.length > 0)
    logs.forEach((log, node) => print(`  ${node}: ${log.slice(-1_500)}`));
};

for (let seed = first; seed <= last; seed += 1) {
  try {
    await runSeed(seed);
  } catch (cause) {
    failures += 1;
    print(
      `seed ${seed}: schedule could not be completed: ${(cause as Error).message.slice(0, 2_000)}`,
    );
  }
}
print(`\n${seedsRun} schedules, ${calls} calls, ${runs} runs, faults: ${formatCounts(kinds)}.`);
print(
  `Ends of calls: ${formatCounts(ends)}. Failed fault injections and schedules: ${failures}.\n`,
);
print('| promise | schedules that broke it | seeds |');
print('| --- | --- | --- |');
Object.keys(CHECKS).forEach((name) => {
  const seeds = broken.get(name) ?? [];
  print(`| ${name} | ${seeds.length} | ${seeds.join(' ')} |`);
});
process.exit(broken.size > 0 || failures > 0 ? 1 : 0);
