// Compares requests through the router with direct requests to the same stand-in engine:
// `npm run bench:path [-- SECTION ...]`.
import { loadavg } from 'node:os';
import type { StandinEngineOptions } from '../src/node/standin';
import {
  callEntry,
  KEYS,
  startCluster,
  waitFor,
  type Cluster,
} from '../src/node/__tests__/cluster';
import { startEngineProcess } from './engines';
import { formatFailures, readPercentile, runLoad, type LoadOptions, type LoadResult } from './load';
import { computeSlope, readProcessStats } from './processStats';

const ROUNDS = 3;
const WARM_UP_SECONDS = 3;
const MODEL = 'small';
const VERSION = 'v1';

interface Bench {
  readonly cluster: Cluster;
  readonly runPath: (options: Partial<LoadOptions>) => Promise<LoadResult>;
  readonly runDirect: (options: Partial<LoadOptions>) => Promise<LoadResult>;
}

const print = (line: string): void => console.log(line);

const formatMs = (value: number): string => value.toFixed(2);

const DEFAULTS = { requestsPerSecond: 200, seconds: 10, isStream: true } as const;

const startBench = async (
  engine: Partial<StandinEngineOptions>,
  requestsPerSecond: number = DEFAULTS.requestsPerSecond,
): Promise<Bench> => {
  const cluster = await startCluster({
    engines: [{ slots: 10_000, ...engine }],
    startEngine: startEngineProcess,
  });
  const entry = cluster.entries[0]!;
  await waitFor('an answer through the entry', async () => {
    const answer = await callEntry({ entry, organisation: 'yard', kind: 'plain', text: 'first' });
    return answer.status === 200;
  });
  const path = { ...DEFAULTS, address: entry, model: MODEL, authorization: `Bearer ${KEYS.yard}` };
  const direct = {
    ...DEFAULTS,
    address: cluster.engines[0]!.address,
    model: `${MODEL}@${VERSION}`,
  };
  const runPath: Bench['runPath'] = (options) => runLoad({ ...path, ...options });
  const runDirect: Bench['runDirect'] = (options) => runLoad({ ...direct, ...options });
  const warmUp = { seconds: WARM_UP_SECONDS, requestsPerSecond };
  await runPath(warmUp);
  await runDirect(warmUp);
  return { cluster, runPath, runDirect };
};

const formatRow = (name: string, result: LoadResult): string => {
  const { firstPiece, wholeAnswer, sent, answered } = result;
  const cells = [50, 95, 99].map((part) => formatMs(readPercentile(firstPiece, part)));
  const whole = formatMs(readPercentile(wholeAnswer, 99));
  return `| ${name} | ${sent} | ${answered} | ${cells.join(' | ')} | ${whole} | ${formatFailures(result.failures)} |`;
};

const runFirstToken = async (): Promise<void> => {
  const bench = await startBench({ firstTokenMs: 20, tokenMs: 5, tokens: 12 });
  print('## First token, 200 streamed requests/s through one entry\n');
  print('| run | sent | answered | p50 ms | p95 ms | p99 ms | whole p99 ms | failures |');
  print('| --- | --- | --- | --- | --- | --- | --- | --- |');
  const added: (readonly [number, number])[] = [];
  for (let round = 1; round <= ROUNDS; round += 1) {
    const direct = await bench.runDirect({});
    const path = await bench.runPath({});
    print(formatRow(`direct ${round}`, direct));
    print(formatRow(`path ${round}`, path));
    const [median, tail] = [50, 99].map(
      (part) => readPercentile(path.firstPiece, part) - readPercentile(direct.firstPiece, part),
    ) as [number, number];
    added.push([median, tail]);
  }
  const rows = added.map(([median, tail]) => `${formatMs(median)} / ${formatMs(tail)}`);
  print(`\nAdded at p50 / p99, per round, in ms: ${rows.join('; ')} (targets 5 / 15).\n`);
  await bench.cluster.stop();
};

const RATES = [500, 1_000, 1_500, 2_000] as const;

const runSmall = async (): Promise<void> => {
  const bench = await startBench({ firstTokenMs: 0, tokenMs: 0, tokens: 1 });
  const pids = [...bench.cluster.processes.values()].map(
    (item) => [item.node, item.pid()] as const,
  );
  print('## Small plain requests through one entry\n');
  print('| run | sent | answered | p50 ms | p95 ms | p99 ms | whole p99 ms | failures |');
  print('| --- | --- | --- | --- | --- | --- | --- | --- |');
  const cpu: string[] = [];
  for (const requestsPerSecond of RATES) {
    const load = { requestsPerSecond, isStream: false };
    print(formatRow(`direct ${requestsPerSecond}/s`, await bench.runDirect(load)));
    const before = pids.map(([, pid]) => readProcessStats(pid).cpuSeconds);
    const result = await bench.runPath(load);
    const shares = pids.map(([node, pid], index) => {
      const used = readProcessStats(pid).cpuSeconds - before[index]!;
      return `${node} ${((100 * used) / result.elapsedSeconds).toFixed(0)}%`;
    });
    print(formatRow(`path ${requestsPerSecond}/s`, result));
    cpu.push(
      `${requestsPerSecond}/s in ${result.elapsedSeconds.toFixed(1)} s: ${shares.join(', ')}`,
    );
  }
  print(`\nShare of one core: ${cpu.join('; ')} (target 1,000 requests/s).\n`);
  await bench.cluster.stop();
};

const STREAM = { requestsPerSecond: 10, seconds: 20 } as const;

const runStreams = async (): Promise<void> => {
  // 10 streams start per second and last 5 s at 20 pieces/s, which makes 1,000 pieces/s in total.
  const bench = await startBench(
    { firstTokenMs: 20, tokenMs: 50, tokens: 100 },
    STREAM.requestsPerSecond,
  );
  print('## Streams of 1,000 pieces/s through one entry\n');
  print(
    '| run | pieces | pieces/s | gap p50 ms | gap p95 ms | gap p99 ms | answers out of order |',
  );
  print('| --- | --- | --- | --- | --- | --- | --- |');
  const single = await bench.runDirect({ requestsPerSecond: 1, seconds: 1 });
  const [expected] = [...single.texts.keys()];
  const added: string[] = [];
  const runOne = async (name: string, run: Bench['runPath']): Promise<number> => {
    const result = await run(STREAM);
    const wrong = result.sent - (result.texts.get(expected!) ?? 0);
    const cells = [50, 95, 99].map((part) => formatMs(readPercentile(result.gaps, part)));
    const speed = (result.pieces / result.elapsedSeconds).toFixed(0);
    print(`| ${name} | ${result.pieces} | ${speed} | ${cells.join(' | ')} | ${wrong} |`);
    return readPercentile(result.gaps, 95);
  };
  for (let round = 1; round <= ROUNDS; round += 1) {
    const direct = await runOne(`direct ${round}`, bench.runDirect);
    const path = await runOne(`path ${round}`, bench.runPath);
    added.push(formatMs(path - direct));
  }
  print(`\nAdded gap at p95, per round, in ms: ${added.join('; ')} (target 3).\n`);
  await bench.cluster.stop();
};

const MEMORY_STEPS = 10;
const MEMORY_LOAD = { requestsPerSecond: 1_000, seconds: 10, isStream: false } as const;
const SETTLED_STEP = 3;

const runMemory = async (): Promise<void> => {
  const bench = await startBench({ firstTokenMs: 0, tokenMs: 0, tokens: 1 });
  const processes = [...bench.cluster.processes.values()];
  const samples = new Map<string, number[]>(processes.map((item) => [item.node, []]));
  let failed = 0;
  for (let step = 0; step < MEMORY_STEPS; step += 1) {
    const result = await bench.runPath(MEMORY_LOAD);
    failed += result.sent - result.answered;
    for (const item of processes) {
      samples.get(item.node)!.push(readProcessStats(item.pid()).residentMegabytes);
    }
  }
  print('## Resident memory over 100,000 requests at 1,000/s\n');
  print('| process | MB after each 10,000 requests | MB per 10,000 requests over the last seven |');
  print('| --- | --- | --- |');
  for (const [node, values] of samples) {
    const points = values.map((value, index) => [index, value] as const).slice(SETTLED_STEP);
    const cells = values.map((value) => value.toFixed(0)).join(' ');
    print(`| ${node} | ${cells} | ${computeSlope(points).slope.toFixed(2)} |`);
  }
  print(`\nRequests without an answer: ${failed}.\n`);
  await bench.cluster.stop();
};

const SECTIONS: Readonly<Record<string, () => Promise<void>>> = {
  firstToken: runFirstToken,
  small: runSmall,
  streams: runStreams,
  memory: runMemory,
};

const wanted = process.argv.slice(2);
print(`Load average before: ${loadavg().map(formatMs).join(' ')}\n`);
for (const [name, run] of Object.entries(SECTIONS)) {
  if (wanted.length === 0 || wanted.includes(name)) await run();
}
print(`Load average after: ${loadavg().map(formatMs).join(' ')}`);
