// Measures time without a leader, commit rate, recovery time and memory of control:
// `npm run build && npm run bench:control`.
import { loadavg } from 'node:os';
import { performance } from 'node:perf_hooks';
import { build, type Histogram } from 'hdr-histogram-js';
import { createControlHosts, waitFor } from '../src/node/replication/__tests__/controlHosts';
import { readProcessStats } from './processStats';

type Hosts = Awaited<ReturnType<typeof createControlHosts>>;

const NODES = ['control-1', 'control-2', 'control-3'] as const;
const PROGRAM = ['dist/oleanderfront.cjs'] as const;
const KILL_ROUNDS = 20;
const LOAD_MS = 5_000;
const CALL_TIMEOUT_MS = 4_000;
const MICROSECONDS = 1_000;
const FILL_BATCH = 500;

const print = (line: string): void => console.log(line);
let nextSession = 0;

const createCommand = () => {
  nextSession += 1;
  const session = `session-${nextSession}`;
  return {
    type: 'bindSession',
    organisation: 'organisation-1',
    session,
    model: 'small',
    version: 'v1',
    at: Date.now(),
  };
};

const propose = async (hosts: Hosts, node: string, count: number): Promise<boolean> => {
  const commands = Array.from({ length: count }, createCommand);
  const address = hosts.addresses.get(node)!;
  const options = { timeoutMs: CALL_TIMEOUT_MS };
  return (await hosts.call(address, 'ledger.propose', { commands }, options)).isRight();
};

const findLedgerLeader = (hosts: Hosts): Promise<string> =>
  waitFor('a ledger leader', async () => {
    const found = await Promise.all(NODES.map(hosts.readStatus));
    return NODES.find((_, index) => found[index]?.ledger.role === 'leader');
  });

const waitUntilCurrent = async (hosts: Hosts, node: string): Promise<void> => {
  const leader = await findLedgerLeader(hosts);
  const target = (await hosts.readStatus(leader))!.ledger.committed;
  await waitFor(`${node} to be current`, async () => {
    const applied = (await hosts.readStatus(node))?.ledger.applied ?? 0;
    return applied >= target ? true : undefined;
  });
};

const formatMs = (histogram: Histogram): string =>
  [50, 95, 100]
    .map((part) => (histogram.getValueAtPercentile(part) / MICROSECONDS).toFixed(1))
    .join(' / ');

const createHistogram = (): Histogram => build({ highestTrackableValue: 60_000_000 });

const runKills = async (hosts: Hosts): Promise<void> => {
  const histogram = createHistogram();
  for (let round = 0; round < KILL_ROUNDS; round += 1) {
    const leader = await findLedgerLeader(hosts);
    const others = NODES.filter((node) => node !== leader);
    const begin = performance.now();
    await hosts.kill(leader);
    while (!(await propose(hosts, others[round % 2]!, 1)));
    histogram.recordValue((performance.now() - begin) * MICROSECONDS);
    hosts.start(leader);
    await waitUntilCurrent(hosts, leader);
  }
  print(`leader killed, ${KILL_ROUNDS} rounds, ms until the next commit: ${formatMs(histogram)}`);
};

const runLoad = async (hosts: Hosts, calls: number, perCall: number): Promise<void> => {
  const leader = await findLedgerLeader(hosts);
  const histogram = createHistogram();
  const cpuBefore = readProcessStats(hosts.pid(leader)).cpuSeconds;
  const begin = performance.now();
  let commits = 0;
  let failures = 0;
  const runWorker = async (): Promise<void> => {
    while (performance.now() - begin < LOAD_MS) {
      const sentAt = performance.now();
      if (await propose(hosts, leader, perCall)) commits += perCall;
      else failures += 1;
      histogram.recordValue((performance.now() - sentAt) * MICROSECONDS);
    }
  };
  await Promise.all(Array.from({ length: calls }, runWorker));
  const seconds = (performance.now() - begin) / 1_000;
  const cpu = readProcessStats(hosts.pid(leader)).cpuSeconds - cpuBefore;
  const rate = Math.round(commits / seconds);
  print(
    `${calls} calls of ${perCall}: ${rate} commits/s, ms ${formatMs(histogram)}, ` +
      `leader's processor ${((cpu / seconds) * 100).toFixed(0)}%, failures ${failures}`,
  );
};

const runFill = async (hosts: Hosts, records: number): Promise<void> => {
  const leader = await findLedgerLeader(hosts);
  for (let done = 0; done < records; done += FILL_BATCH) await propose(hosts, leader, FILL_BATCH);
};

const printMemory = (hosts: Hosts, title: string): void => {
  const values = NODES.map((node) => readProcessStats(hosts.pid(node)).residentMegabytes);
  print(`${title}: resident MB ${values.map((value) => value.toFixed(0)).join(' / ')}`);
};

const recordStart = async (hosts: Hosts, node: string, title: string): Promise<void> => {
  const begin = performance.now();
  hosts.start(node);
  await waitUntilCurrent(hosts, node);
  print(`${title}: ${Math.round(performance.now() - begin)} ms until current`);
};

const runRecovery = async (hosts: Hosts, records: number): Promise<void> => {
  const leader = await findLedgerLeader(hosts);
  const node = NODES.find((name) => name !== leader)!;
  await hosts.kill(node);
  await recordStart(hosts, node, `${records} records, restart`);
  await hosts.kill(node);
  hosts.removeData(node);
  await recordStart(hosts, node, `${records} records, data folder deleted`);
  await waitFor(`${node} to become a voter`, async () => {
    const status = await hosts.readStatus(node);
    return status && status.ledger.role !== 'learner' ? true : undefined;
  });
};

const runAll = async (): Promise<void> => {
  print(`load average before: ${loadavg()[0]!.toFixed(1)}`);
  const hosts = await createControlHosts(NODES, [], PROGRAM);
  try {
    NODES.forEach((node) => hosts.start(node));
    await findLedgerLeader(hosts);
    printMemory(hosts, 'after the start');
    await runKills(hosts);
    await runFill(hosts, 10_000);
    printMemory(hosts, '10000 records');
    await runRecovery(hosts, 10_000);
    await runFill(hosts, 90_000);
    printMemory(hosts, '100000 records');
    await runRecovery(hosts, 100_000);
    await runLoad(hosts, 1, 1);
    await runLoad(hosts, 100, 1);
    await runLoad(hosts, 1, 100);
    await runLoad(hosts, 10, 100);
    printMemory(hosts, 'after the load');
  } finally {
    await hosts.stop();
  }
  print(`load average after: ${loadavg()[0]!.toFixed(1)}`);
};

await runAll();
