// Measures how the cost of control traffic grows with its size: `npm run bench:capacity`. All lease
// clients run in this process.
import { loadavg } from 'node:os';
import { setTimeout as sleep } from 'node:timers/promises';
import { createLeaseClient, type LeaseClient } from '../src/node/lease';
import { createRootLogger } from '../src/node/log';
import { createRpcClient, type RpcClient } from '../src/node/rpc';
import { INTERNAL_SECRET, KEYS, startCluster, type Cluster } from '../src/node/__tests__/cluster';
import { startEngineProcess } from './engines';
import { runLoad } from './load';
import { runLedger } from './ledgerCapacity';
import {
  countBytes,
  print,
  printFit,
  printHeader,
  readControlCpu,
  readResident,
  type Point,
} from './points';
import { readProcessStats } from './processStats';

const SIZES = [1, 4, 16, 64] as const;
const WINDOW_SECONDS = 8;
const SETTLE_MS = 1_500;
const MILLI = 1_000;
const KILOBYTE = 1_024;

const log = createRootLogger({ level: 'silent', node: 'bench' });

const createNode = (
  rpc: RpcClient,
  cluster: Cluster,
  name: string,
  role: 'entry' | 'agent' = 'agent',
): LeaseClient =>
  createLeaseClient({
    node: name,
    role,
    zone: 'zone-a',
    host: name,
    control: cluster.controls,
    rpc,
    log,
  });

interface Window {
  readonly controlCpu: number;
  readonly ownCpu: number;
  readonly sent: number;
  readonly received: number;
}

const recordWindow = async (cluster: Cluster): Promise<Window> => {
  const bytes = countBytes();
  const control = readControlCpu(cluster);
  const own = readProcessStats(process.pid).cpuSeconds;
  await sleep(WINDOW_SECONDS * MILLI);
  const after = countBytes();
  return {
    controlCpu: (readControlCpu(cluster) - control) / WINDOW_SECONDS,
    ownCpu: (readProcessStats(process.pid).cpuSeconds - own) / WINDOW_SECONDS,
    sent: (after.sent - bytes.sent) / WINDOW_SECONDS,
    received: (after.received - bytes.received) / WINDOW_SECONDS,
  };
};

const startNodes = async (
  rpc: RpcClient,
  cluster: Cluster,
  from: number,
  to: number,
): Promise<readonly LeaseClient[]> => {
  const nodes = Array.from({ length: to - from }, (_, index) =>
    createNode(rpc, cluster, `node-${from + index}`),
  );
  for (const node of nodes) await node.start('127.0.0.1:1');
  return nodes;
};

const runRenewals = async (controls: number): Promise<void> => {
  const cluster = await startCluster({ controls, engines: [] });
  const rpc = createRpcClient({ secret: INTERNAL_SECRET });
  const nodes: LeaseClient[] = [];
  const points: (readonly [number, Window])[] = [];
  for (const size of SIZES) {
    nodes.push(...(await startNodes(rpc, cluster, nodes.length, size)));
    await sleep(SETTLE_MS);
    points.push([size, await recordWindow(cluster)]);
  }
  printHeader(`Renewing nodes, ${controls} control host(s)`);
  const readPoints = (read: (window: Window) => number): readonly Point[] =>
    points.map(([size, window]) => [size, read(window)] as const);
  printFit(
    'control: processor, ms/s, all hosts',
    readPoints((item) => item.controlCpu * MILLI),
    1,
  );
  printFit(
    'node: processor, ms/s',
    readPoints((item) => item.ownCpu * MILLI),
    1,
  );
  printFit(
    'node to control, KB/s',
    readPoints((item) => item.sent / KILOBYTE),
    2,
  );
  printFit(
    'control to node, KB/s',
    readPoints((item) => item.received / KILOBYTE),
    2,
  );
  await Promise.all(nodes.map((node) => node.stop()));
  await rpc.close();
  await cluster.stop();
};

const MEMBER_COUNTS = [0, 700, 1_400, 2_800] as const;
const STATE_NODES = 16;

const announce = async (
  rpc: RpcClient,
  cluster: Cluster,
  index: number,
  known: Map<string, number>,
): Promise<void> => {
  const node = `runner-${index}`;
  const control = cluster.controls[0]!;
  const registration = {
    node,
    role: 'agent',
    zone: 'zone-a',
    host: `host-${index}`,
    address: `127.0.0.1:${index}`,
    bootId: `boot-${index}`,
  };
  const answer = await rpc.call<{ readonly incarnation: number }>(
    control,
    'control.register',
    registration,
  );
  const { incarnation } = answer.unsafeCoerce();
  known.set(node, incarnation);
  const announcement = {
    endpoint: `endpoint-${index}`,
    host: `host-${index}`,
    serves: [
      { model: 'small', version: 'v1' },
      { model: 'large', version: 'v1' },
    ],
    slots: 8,
    checksFencing: false,
    state: 'live',
  };
  (await rpc.call(control, 'control.announce', { node, incarnation, announcement })).unsafeCoerce();
};

const BATCH = 50;

const announceAll = async (
  rpc: RpcClient,
  cluster: Cluster,
  from: number,
  to: number,
  known: Map<string, number>,
): Promise<void> => {
  for (let index = from; index < to; index += BATCH) {
    const batch = Array.from({ length: Math.min(BATCH, to - index) }, (_, item) => index + item);
    await Promise.all(batch.map((item) => announce(rpc, cluster, item, known)));
  }
};

const REPORT_INTERVAL_MS = 1_000;

// Control hosts report renewed leases to the leader. Without these reports the endpoints would
// expire.
const startReporting = (
  rpc: RpcClient,
  cluster: Cluster,
  known: ReadonlyMap<string, number>,
): NodeJS.Timeout =>
  setInterval(() => {
    const sightings = [...known].map(([node, incarnation]) => ({
      node,
      incarnation,
      revision: 0,
      ageMs: 0,
    }));
    cluster.controls.forEach((control) => {
      rpc.call(control, 'members.report', { sightings }).catch(() => {});
    });
  }, REPORT_INTERVAL_MS);

const runState = async (controls: number): Promise<void> => {
  const cluster = await startCluster({ controls, engines: [] });
  const rpc = createRpcClient({ secret: INTERNAL_SECRET });
  const nodes = await startNodes(rpc, cluster, 0, STATE_NODES);
  const cpu: Point[] = [];
  const memory: Point[] = [];
  const entryMemory: Point[] = [];
  const snapshots: Point[] = [];
  const announced: Point[] = [];
  const known = new Map<string, number>();
  const reporting = startReporting(rpc, cluster, known);
  let count = 0;
  for (const size of MEMBER_COUNTS) {
    const started = readControlCpu(cluster);
    await announceAll(rpc, cluster, count, size, known);
    const added = size - count;
    if (added > 0) announced.push([size, ((readControlCpu(cluster) - started) * MILLI) / added]);
    count = size;
    await sleep(SETTLE_MS);
    cpu.push([size, ((await recordWindow(cluster)).controlCpu * MILLI) / STATE_NODES]);
    memory.push([size, readResident(cluster, 'control-1')]);
    entryMemory.push([size, readResident(cluster, 'entry-1')]);
    const before = countBytes();
    const fresh = createNode(rpc, cluster, `entry-${size}`, 'entry');
    await fresh.start('127.0.0.1:1');
    snapshots.push([size, (countBytes().received - before.received) / KILOBYTE]);
    await fresh.stop();
  }
  printHeader(`Endpoints in the state, ${controls} control host(s), ${STATE_NODES} nodes renewing`);
  printFit('control: processor per node, ms/s, all hosts', cpu, 2);
  printFit('control: processor per announced endpoint, ms', announced, 2);
  printFit('control-1: resident MB', memory, 0);
  printFit('entry-1: resident MB', entryMemory, 0);
  printFit('first view of a node, KB', snapshots, 1);
  clearInterval(reporting);
  await Promise.all(nodes.map((node) => node.stop()));
  await rpc.close();
  await cluster.stop();
};

const RATES = [50, 100, 200, 400] as const;
const TOKENS_PER_REQUEST = [1, 16, 64, 256] as const;
const LOAD_SECONDS = 6;

interface RoleUse {
  readonly entry: number;
  readonly agent: number;
  readonly control: number;
  readonly entryControlBytes: number;
  readonly agentControlBytes: number;
  readonly entryAgentBytes: number;
}

const countRelayBytes = (cluster: Cluster, prefix: string): number =>
  [...cluster.relays]
    .filter(([name]) => name.startsWith(prefix))
    .reduce((sum, [, relay]) => sum + relay.countBytes(), 0);

const readUse = (cluster: Cluster): RoleUse => {
  const readCpu = (node: string): number =>
    readProcessStats(cluster.processes.get(node)!.pid()).cpuSeconds * MILLI;
  const agentBytes = countRelayBytes(cluster, 'agent-1');
  const agentControlBytes = countRelayBytes(cluster, 'agent-1>') / KILOBYTE;
  return {
    entry: readCpu('entry-1'),
    agent: readCpu('agent-1'),
    control: readControlCpu(cluster) * MILLI,
    entryControlBytes: countRelayBytes(cluster, 'entry-1>') / KILOBYTE,
    agentControlBytes,
    entryAgentBytes: agentBytes / KILOBYTE - agentControlBytes,
  };
};

const recordLoad = async (
  cluster: Cluster,
  requestsPerSecond: number,
  text: string,
): Promise<RoleUse> => {
  const before = readUse(cluster);
  const result = await runLoad({
    address: cluster.entries[0]!,
    requestsPerSecond,
    seconds: LOAD_SECONDS,
    model: 'small',
    isStream: true,
    authorization: `Bearer ${KEYS.yard}`,
    text,
  });
  if (result.answered !== result.sent)
    print(`${result.sent - result.answered} of ${result.sent} requests failed`);
  const after = readUse(cluster);
  const computeRate = (role: keyof RoleUse): number => (after[role] - before[role]) / LOAD_SECONDS;
  return {
    entry: computeRate('entry'),
    agent: computeRate('agent'),
    control: computeRate('control'),
    entryControlBytes: computeRate('entryControlBytes'),
    agentControlBytes: computeRate('agentControlBytes'),
    entryAgentBytes: computeRate('entryAgentBytes'),
  };
};

const USE_TITLES: Readonly<Record<keyof RoleUse, string>> = {
  entry: 'entry: processor, ms/s',
  agent: 'agent: processor, ms/s',
  control: 'control: processor, ms/s, all hosts',
  entryControlBytes: 'entry and control, KB/s, both ways',
  agentControlBytes: 'agent and control, KB/s, both ways',
  entryAgentBytes: 'entry and agent, KB/s, both ways',
};

const printUse = (title: string, points: readonly (readonly [number, RoleUse])[]): void => {
  printHeader(title);
  (Object.keys(USE_TITLES) as (keyof RoleUse)[]).forEach((role) => {
    printFit(
      USE_TITLES[role],
      points.map(([size, use]) => [size, use[role]] as const),
      0,
    );
  });
};

const startLoaded = (controls: number, tokens: number): Promise<Cluster> =>
  startCluster({
    controls,
    hasRelays: true,
    startEngine: startEngineProcess,
    engines: [{ firstTokenMs: 5, tokenMs: 10, tokens, slots: 10_000 }],
  });

const WARM_UP_RATE = 100;
const TOKEN_LOAD_RATE = 20;

const runRequests = async (controls: number): Promise<void> => {
  const cluster = await startLoaded(controls, 4);
  await sleep(SETTLE_MS);
  await recordLoad(cluster, WARM_UP_RATE, 'warm up');
  const points: (readonly [number, RoleUse])[] = [];
  for (const rate of RATES) points.push([rate, await recordLoad(cluster, rate, 'slope')]);
  printUse(`Streamed requests of 4 tokens per second, ${controls} control host(s)`, points);
  await cluster.stop();
};

const runTokens = async (controls: number): Promise<void> => {
  const points: (readonly [number, RoleUse])[] = [];
  for (const tokens of TOKENS_PER_REQUEST) {
    const cluster = await startLoaded(controls, tokens);
    await sleep(SETTLE_MS);
    await recordLoad(cluster, TOKEN_LOAD_RATE, 'warm up');
    points.push([tokens * TOKEN_LOAD_RATE, await recordLoad(cluster, TOKEN_LOAD_RATE, 'slope')]);
    await cluster.stop();
  }
  printUse(
    `Tokens per second at ${TOKEN_LOAD_RATE} requests/s, ${controls} control host(s)`,
    points,
  );
};

const runIdle = async (controls: number): Promise<void> => {
  const cluster = await startCluster({ controls });
  await sleep(SETTLE_MS);
  print('\n## Resident memory of each role, idle\n');
  for (const [node, item] of cluster.processes) {
    const { residentMegabytes, anonymousMegabytes } = readProcessStats(item.pid());
    const anonymous = anonymousMegabytes.toFixed(0);
    print(`- ${node}: ${residentMegabytes.toFixed(0)} MB, of which ${anonymous} MB anonymous`);
  }
  await cluster.stop();
};

const SECTIONS: Readonly<Record<string, (controls: number) => Promise<void>>> = {
  idle: runIdle,
  renewals: runRenewals,
  state: runState,
  requests: runRequests,
  tokens: runTokens,
  ledger: runLedger,
};

const [controlsText = '1', ...wanted] = process.argv.slice(2);
print(
  `Load average before: ${loadavg()
    .map((item) => item.toFixed(2))
    .join(' ')}`,
);
for (const [name, measure] of Object.entries(SECTIONS)) {
  if (wanted.length === 0 || wanted.includes(name)) await measure(Number(controlsText));
}
print(
  `\nLoad average after: ${loadavg()
    .map((item) => item.toFixed(2))
    .join(' ')}`,
);
process.exit(0);
