// Measures the time from the acceptance of a change until it is in force on every node:
// `npm run bench:in-force`.
import { loadavg } from 'node:os';
import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { build } from 'hdr-histogram-js';
import { createLeaseClient, type LeaseClient } from '../src/node/lease';
import { createRootLogger } from '../src/node/log';
import { createRpcClient, type RpcClient } from '../src/node/rpc';
import type { AdminStatus } from '../src/node/shared';
import {
  createClusterInventory,
  INTERNAL_SECRET,
  startCluster,
  startRelay,
  type Cluster,
} from '../src/node/__tests__/cluster';

interface Round {
  /** Milliseconds from the first attempt to send the change until its acceptance. */
  readonly acceptMs: number;
  /** Milliseconds from the acceptance until no node with a valid lease uses an older revision. */
  readonly inForceMs: number;
  /** Nodes without a valid lease at that time. */
  readonly expired: number;
}

const NODES = 64;
const CUT_NODES = 4;
const QUIET_ROUNDS = 50;
const FAULT_ROUNDS = 5;
const POLL_MS = 5;
const RETRY_MS = 100;
const SETTLE_MS = 3_000;

const print = (line: string): void => console.log(line);
const log = createRootLogger({ level: 'silent', node: 'bench' });

const createNode = (rpc: RpcClient, control: readonly string[], index: number): LeaseClient =>
  createLeaseClient({
    node: `node-${index}`,
    role: 'entry',
    zone: 'zone-a',
    host: `host-${index}`,
    control,
    rpc,
    log,
  });

let round = 0;

const readBase = async (cluster: Cluster): Promise<number> => {
  const { body } = await cluster.callAdmin(1, 'GET', '/admin/inventory');
  return (body as { readonly revision: number }).revision;
};

// Retries the same change at the next host until one accepts it.
const sendChange = async (cluster: Cluster, base: number): Promise<number> => {
  round += 1;
  const first = createClusterInventory();
  const rules = { ...first.rules, retryBudget: (round % 10) / 10 };
  const body = { base, changeId: `round-${round}`, inventory: { ...first, rules } };
  for (let host = 1; ; host += 1) {
    try {
      const answer = await cluster.callAdmin(host, 'PUT', '/admin/inventory', body);
      if (answer.status === 200) return (answer.body as { readonly revision: number }).revision;
    } catch {
      await sleep(RETRY_MS);
    }
  }
};

const runRound = async (
  cluster: Cluster,
  nodes: readonly LeaseClient[],
  base: number,
): Promise<Round> => {
  const sentAt = performance.now();
  const revision = await sendChange(cluster, base);
  const acceptedAt = performance.now();
  const isOld = (node: LeaseClient): boolean => node.isValid() && node.view.revision() < revision;
  while (nodes.some(isOld)) await sleep(POLL_MS);
  const inForceMs = performance.now() - acceptedAt;
  const expired = nodes.filter((node) => !node.isValid()).length;
  return { acceptMs: acceptedAt - sentAt, inForceMs, expired };
};

const runRounds = async (
  title: string,
  cluster: Cluster,
  nodes: readonly LeaseClient[],
  rounds: number,
  fault: { readonly start: () => void; readonly end: () => void },
): Promise<void> => {
  const accept = build();
  const inForce = build();
  let expired = 0;
  for (let index = 0; index < rounds; index += 1) {
    const base = await readBase(cluster);
    fault.start();
    const result = await runRound(cluster, nodes, base);
    fault.end();
    accept.recordValue(Math.round(result.acceptMs));
    inForce.recordValue(Math.round(result.inForceMs));
    expired += result.expired;
    while (nodes.some((node) => !node.isValid())) await sleep(POLL_MS);
  }
  const formatValues = (histogram: typeof accept): string =>
    [50, 95, 100].map((percent) => histogram.getValueAtPercentile(percent)).join(' / ');
  print(
    `| ${title} | ${rounds} | ${formatValues(accept)} | ${formatValues(inForce)} | ${expired} |`,
  );
};

const findLeader = async (cluster: Cluster): Promise<string> => {
  const { body } = await cluster.callAdmin(1, 'GET', '/admin/status');
  const { groups } = body as Pick<AdminStatus, 'groups'>;
  return groups.find(({ group }) => group === 'config')!.leader;
};

const sendSignal = (cluster: Cluster, node: string, name: NodeJS.Signals): void =>
  cluster.processes.get(node)!.signal(name);

const createFreeze = (cluster: Cluster, node: string) => ({
  start: () => sendSignal(cluster, node, 'SIGSTOP'),
  end: () => sendSignal(cluster, node, 'SIGCONT'),
});

const run = async (): Promise<void> => {
  const cluster = await startCluster({ controls: 3, engines: [] });
  const rpc = createRpcClient({ secret: INTERNAL_SECRET });
  const relays = await Promise.all(cluster.controls.map((address) => startRelay(address)));
  const relayed = relays.map((relay) => relay.address);
  const nodes = Array.from({ length: NODES }, (_, index) =>
    createNode(rpc, index < CUT_NODES ? relayed : cluster.controls, index),
  );
  await Promise.all(nodes.map((node) => node.start('127.0.0.1:1')));
  print(
    `load average before: ${loadavg()
      .map((value) => value.toFixed(1))
      .join(' ')}\n`,
  );
  print(`Three control hosts, ${NODES} nodes in one process; milliseconds at p50 / p95 / p100.\n`);
  print('| case | rounds | until accepted | from accepted to in force | leases run out |');
  print('| --- | --- | --- | --- | --- |');
  const nothing = { start: () => {}, end: () => {} };
  await runRounds('nothing fails', cluster, nodes, QUIET_ROUNDS, nothing);
  const leader = await findLeader(cluster);
  const follower = ['control-1', 'control-3'].find((node) => node !== leader)!;
  await runRounds(
    'a follower is frozen',
    cluster,
    nodes,
    FAULT_ROUNDS,
    createFreeze(cluster, follower),
  );
  for (let index = 1; index <= FAULT_ROUNDS; index += 1) {
    const fault = createFreeze(cluster, await findLeader(cluster));
    await runRounds(`the leader is frozen (${index})`, cluster, nodes, 1, fault);
    await sleep(SETTLE_MS);
  }
  for (const direction of ['toTarget', 'toCaller'] as const) {
    const title = `${CUT_NODES} nodes cut off, ${direction}`;
    await runRounds(title, cluster, nodes, FAULT_ROUNDS, {
      start: () => relays.forEach((relay) => relay.cut(direction)),
      end: () => relays.forEach((relay) => relay.restore()),
    });
  }
  await Promise.all(nodes.map((node) => node.stop()));
  await rpc.close();
  await Promise.all(relays.map((relay) => relay.stop()));
  await cluster.stop();
};

await run();
