import { mkdirSync, writeFileSync } from 'node:fs';
import { basename, join } from 'node:path';
import { cac } from 'cac';
import { stringify } from 'csv-stringify/sync';
import { runEmulation } from './emulate';
import { computeBenefitOverTime, computeFigures, type Figures } from './figures';
import { readPattern } from './pattern';
import { formatLines } from './plots';
import { POLICIES } from './policies';

interface Row extends Figures {
  readonly policy: string;
  readonly load: number;
}

interface Options {
  readonly loads: string;
  readonly policies: string;
  readonly seeds: number;
  readonly out?: string;
}

const DEFAULT_LOADS = '0.7,1,1.5,2';

const computeMean = (list: readonly Figures[]): Figures =>
  Object.fromEntries(
    Object.keys(list[0]!).map((key) => {
      const values = list.map((figures) => figures[key as keyof Figures]);
      return [key, values.reduce((sum, value) => sum + value, 0) / values.length];
    }),
  ) as unknown as Figures;

const formatRow = (row: Row): readonly string[] => [
  row.policy,
  row.load.toFixed(1),
  row.requests.toFixed(0),
  ...[row.benefit, row.net, row.largest, row.worstTask, row.inTime, row.good, row.refused].map(
    (value) => value.toFixed(3),
  ),
  row.firstTokenP50Ms.toFixed(0),
  row.firstTokenP99Ms.toFixed(0),
  row.fairness.toFixed(3),
  row.busyFraction.toFixed(2),
];

const HEADER = [
  'policy',
  'load',
  'requests',
  'benefit',
  'net',
  'largest',
  'worst',
  'in time',
  'good',
  'refused',
  'p50 ms',
  'p99 ms',
  'Jain',
  'busy',
];

const printTable = (rows: readonly (readonly string[])[]): void => {
  const widths = HEADER.map((title, column) =>
    Math.max(title.length, ...rows.map((row) => row[column]!.length)),
  );
  for (const row of [HEADER, ...rows]) {
    console.log(row.map((cell, column) => cell.padEnd(widths[column]!)).join('  '));
  }
};

const runPattern = async (path: string, options: Options): Promise<void> => {
  const pattern = readPattern(path);
  const loads = String(options.loads).split(',').map(Number);
  const policies = options.policies === 'all' ? Object.keys(POLICIES) : options.policies.split(',');
  const seeds = Array.from({ length: options.seeds }, (_item, index) => index + 1);
  const rows: Row[] = [];
  const timelines: { x: number; y: number; series: string }[] = [];
  for (const policy of policies) {
    for (const load of loads) {
      const runs = seeds.map((seed) => runEmulation({ pattern, policy, load, seed }));
      rows.push({ policy, load, ...computeMean(runs.map(computeFigures)) });
      if (load !== 1) continue;
      computeBenefitOverTime(pattern, runs[0]!).forEach(({ second, benefit }) =>
        timelines.push({ x: second, y: benefit, series: policy }),
      );
    }
  }
  printTable(rows.map(formatRow));
  if (options.out === undefined) return;
  mkdirSync(options.out, { recursive: true });
  const name = basename(path).replace(/\.jsonc$/, '');
  writeFileSync(join(options.out, `${name}.csv`), stringify([HEADER, ...rows.map(formatRow)]));
  const points = rows.map(({ load, benefit, policy }) => ({ x: load, y: benefit, series: policy }));
  const titles = { plot: pattern.name, x: 'load', y: 'earned benefit / requested benefit' };
  writeFileSync(join(options.out, `${name}-load.svg`), await formatLines(points, titles));
  const timelineTitles = { plot: `${pattern.name}, load 1`, x: 'second', y: titles.y };
  writeFileSync(
    join(options.out, `${name}-course.svg`),
    await formatLines(timelines, timelineTitles),
  );
};

const cli = cac('emulator');
cli
  .command('<pattern>', 'Runs a load pattern under several policies')
  .option('--loads <list>', 'Comma-separated factors applied to the request rates of the pattern', {
    default: DEFAULT_LOADS,
  })
  .option('--policies <list>', `Comma-separated policies: ${Object.keys(POLICIES).join(', ')}`, {
    default: 'all',
  })
  .option('--seeds <count>', 'Number of seeds to average over', { default: 3 })
  .option('--out <folder>', 'Folder for CSV and SVG files')
  .example('npm run emulator -- bench/emulator/patterns/small.jsonc --policies live,oracle')
  .action((path: string, options: Options) =>
    runPattern(path, options).catch((cause: Error) => {
      console.error(`emulator: ${cause.message}`);
      process.exitCode = 1;
    }),
  );
cli.help();
cli.parse();
