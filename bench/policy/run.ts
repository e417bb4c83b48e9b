import { performance } from 'node:perf_hooks';
import { runCostBench, STRATEGY_NAMES, type CostResult } from './costBench';
import { runExposure, type ExposureResult, type QualityDrop } from './exposureBench';
import { runLateDrop } from './lateDropBench';
import { runQueueSimulation, type QueueRecord } from './queueWorld';
import { WORLDS, type World } from './worlds';

const COST_SEEDS = [1, 2, 3];
const EXPOSURE_RUNS = 60;
const LOADS = [0.5, 0.8, 1, 1.5, 2];
const SECONDS = 120;
const WARM_UP_MS = 20_000;
const FLOOD_SECONDS = 600;
const FLOOD_LOAD = 2.5;
const KILL_AT = 45;
const ANSWER_LIMIT_MS = 30_000;

type Row = readonly (string | number)[];

const formatCell = (value: string | number): string =>
  typeof value === 'number' && !Number.isInteger(value) ? value.toFixed(3) : String(value);

const printTable = (title: string, head: readonly string[], rows: readonly Row[]): void => {
  console.log(`\n### ${title}\n`);
  console.log(`| ${head.join(' | ')} |`);
  console.log(`| ${head.map(() => '---').join(' | ')} |`);
  rows.forEach((row) => console.log(`| ${row.map(formatCell).join(' | ')} |`));
};

const computeQuantile = (values: readonly number[], part: number): number => {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(part * sorted.length))] ?? NaN;
};

const computeMean = (values: readonly number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);

const printCosts = (world: World): void => {
  const byStrategy = STRATEGY_NAMES.map((strategy) =>
    COST_SEEDS.map((seed) => runCostBench(world, strategy, seed)),
  );
  const readAfter = (results: readonly CostResult[]): number =>
    computeMean(results.map((result) => result.costs.at(-1)!));
  const oracle = readAfter(byStrategy[0]!);
  const rows = byStrategy.map((results) => [
    results[0]!.strategy,
    ...[0, 1, 2, 3].map((part) => computeMean(results.map((result) => result.costs[part]!))),
    readAfter(results),
    readAfter(results) / oracle,
    Math.min(...results.map((result) => result.worstMargin)),
    Math.max(...results.map((result) => result.missedOrganisations)),
    computeMean(results.map((result) => result.missedCells)),
    computeMean(results.map((result) => result.lateShare)),
  ]);
  const head = ['strategy', 'cost 0-6 h', '6-12 h', '12-18 h', '18-24 h', 'days 2-3', 'to oracle'];
  const rest = ['worst organisation over target', 'organisations below', 'cells below', 'late'];
  printTable(`Cost at the quality target, ${world.name}`, [...head, ...rest], rows);
};

const listQualityDrops = (world: World): readonly QualityDrop[] => [
  ...[0.3, 0.2, 0.1, 0.05].map((fraction) => ({ title: `${fraction * 100}% for all`, fraction })),
  { title: '30% for one large organisation', fraction: 0.3, organisation: 'org-1' },
  { title: '30% for one task', fraction: 0.3, task: world.tasks[0]!.name },
  { title: '30% for high value only', fraction: 0.3, task: world.tasks.at(-1)!.name },
  { title: 'no fall', fraction: 0 },
];

const printExposure = (world: World): void => {
  const rows = listQualityDrops(world).map((drop) => {
    const results = Array.from({ length: EXPOSURE_RUNS }, (_unused, seed) =>
      runExposure(world, drop, seed),
    );
    const readAll = (read: (result: ExposureResult) => number): readonly number[] =>
      results.map(read);
    const exposure = readAll((result) => result.exposure * 100);
    const highValue = readAll((result) => result.highValueExposure * 100);
    return [
      drop.title,
      `${results.filter((result) => result.isWithdrawn).length}/${results.length}`,
      computeQuantile(exposure, 0.5),
      computeQuantile(exposure, 0.95),
      computeQuantile(highValue, 0.5),
      computeQuantile(highValue, 0.95),
      computeQuantile(
        readAll((result) => result.hours),
        0.5,
      ),
    ];
  });
  const head = ['fall', 'withdrawn', '% of a day', '95th', '% of contracts', '95th', 'hours'];
  printTable(`Exposure to a new version, ${world.name}`, head, rows);
};

const isInTime = (world: World, record: QueueRecord): boolean => {
  const task = world.tasks.find((item) => item.name === record.task)!;
  return record.isDone && record.totalMs <= (task.deadlineMs ?? ANSWER_LIMIT_MS);
};

const listSteady = (records: readonly QueueRecord[]): readonly QueueRecord[] =>
  records.filter((item) => item.arrivedAt > WARM_UP_MS && item.arrivedAt < SECONDS * 1_000);

const printLatency = (world: World): void => {
  const rows = (['live', 'plain'] as const).flatMap((policy) =>
    LOADS.flatMap((load) => {
      const records = listSteady(
        runQueueSimulation({ world, load, seconds: SECONDS, seed: 1, policy }),
      );
      const work = records
        .filter((item) => isInTime(world, item))
        .reduce((sum, item) => sum + item.servedMs, 0);
      const goodput = work / (SECONDS * 1_000 - WARM_UP_MS) / (world.endpoints * 8);
      return world.tasks.map((task) => {
        const own = records.filter((item) => item.task === task.name);
        const done = own.filter((item) => item.isDone);
        const first = done.map((item) => item.firstTokenMs);
        const whole = done.map((item) => item.totalMs);
        return [
          policy,
          load,
          `${task.name} (${task.class})`,
          ...[0.5, 0.95, 0.99].map((part) => Math.round(computeQuantile(first, part))),
          ...[0.5, 0.95, 0.99].map((part) => Math.round(computeQuantile(whole, part))),
          done.length / Math.max(1, own.length),
          goodput,
        ];
      });
    }),
  );
  const head = ['router', 'load', 'task', 'first token 50', '95', '99', 'whole 50', '95', '99'];
  const title = `Latency in ms, ${world.name}`;
  printTable(title, [...head, 'answered', 'goodput of all'], rows);
};

const printFairness = (world: World): void => {
  const records = runQueueSimulation({
    world,
    load: FLOOD_LOAD,
    seconds: FLOOD_SECONDS,
    seed: 1,
    policy: 'live',
    isFlood: true,
  }).filter((item) => item.arrivedAt > WARM_UP_MS);
  const shares = world.organisations.map((organisation) =>
    records
      .filter((item) => item.organisation === organisation.name)
      .reduce((sum, item) => sum + item.servedMs / organisation.weight, 0),
  );
  const sum = shares.reduce((total, share) => total + share, 0);
  const squares = shares.reduce((total, share) => total + share * share, 0);
  const jain = (sum * sum) / (shares.length * squares);
  printTable(
    `Fairness, ${world.name}`,
    ['load', 'Jain index of weighted shares'],
    [[FLOOD_LOAD, jain.toFixed(4)]],
  );
};

const printKill = (world: World): void => {
  const rows = [1 / 3, 1 / 2].flatMap((killFraction) => {
    const options = {
      world,
      load: 0.5,
      seconds: 90,
      seed: 1,
      policy: 'live',
      killFraction,
    } as const;
    const records = runQueueSimulation({ ...options, killAfterSeconds: KILL_AT });
    return Array.from({ length: 10 }, (_unused, index) => {
      const second = KILL_AT - 2 + index;
      const own = records.filter((item) => Math.floor(item.arrivedAt / 1_000) === second);
      const urgent = own.filter((item) => item.isDone && item.class === 'urgent');
      const first = urgent.map((item) => item.firstTokenMs);
      const failed = own.filter((item) => !item.isDone).length;
      const repeated = own.reduce((sum, item) => sum + item.attempts - 1, 0);
      const slow = Math.round(computeQuantile(first, 0.95));
      return [killFraction.toFixed(2), second - KILL_AT, own.length, failed, repeated, slow];
    });
  });
  const head = ['part lost', 'second after', 'requests', 'failed', 'repeated runs'];
  const title = `Endpoint failures at load 0.5, ${world.name}`;
  printTable(title, [...head, 'urgent first token 95'], rows);
};

const LATE_RUNS = 60;

const printLateDrops = (world: World): void => {
  const rows = [0.3, 0.2, 0.1].map((fraction) => {
    const results = Array.from({ length: LATE_RUNS }, (_unused, seed) =>
      runLateDrop(world, fraction, seed),
    );
    const found = results.flatMap((result) =>
      result.exposure === undefined ? [] : [result.exposure * 100],
    );
    return [
      `${fraction * 100}%`,
      `${found.length}/${LATE_RUNS}`,
      computeQuantile(found, 0.5),
      computeQuantile(found, 0.95),
      `${results.filter((result) => result.isFalse).length}/${LATE_RUNS}`,
    ];
  });
  const head = ['fall', 'found', '% of a day until then', '95th', 'alarms on the day before'];
  printTable(`Quality drop one day after the roll-out, ${world.name}`, head, rows);
};

const PARTS: Readonly<Record<string, (world: World) => void>> = {
  cost: printCosts,
  exposure: printExposure,
  late: printLateDrops,
  latency: printLatency,
  fairness: printFairness,
  kill: printKill,
};

const wanted = process.argv.slice(2);
const startedAt = performance.now();
for (const world of WORLDS) {
  for (const [name, print] of Object.entries(PARTS)) {
    if (wanted.length === 0 || wanted.includes(name)) print(world);
  }
}
console.log(`\n${Math.round((performance.now() - startedAt) / 1_000)} s in total`);
