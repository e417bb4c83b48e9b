import { setTimeout as sleep } from 'node:timers/promises';
import type { Cluster, Relay, RoleProcess } from '../cluster';
import type { FaultRecord } from '../history';
import type { FaultKind, PlannedFault } from './schedule';

const STOP_TIMEOUT_MS = 20_000;

const findProcess = (cluster: Cluster, node: string): RoleProcess => {
  const found = cluster.processes.get(node);
  if (found) return found;
  throw new Error(`unknown process ${node}`);
};

const listControlRelays = (cluster: Cluster, node: string): readonly Relay[] =>
  [...cluster.relays].filter(([name]) => name.startsWith(`${node}>`)).map(([, relay]) => relay);

const createCut =
  (direction: 'toTarget' | 'toCaller') =>
  async (cluster: Cluster, fault: PlannedFault): Promise<void> => {
    const relay = cluster.relays.get(fault.node)!;
    relay.cut(direction);
    await sleep(fault.durationMs);
    relay.restore();
  };

const stopInTime = async (cluster: Cluster, node: string): Promise<void> => {
  const item = findProcess(cluster, node);
  item.signal('SIGTERM');
  const timeout = sleep(STOP_TIMEOUT_MS, 'timeout' as const, { ref: false });
  const ended = await Promise.race([item.waitForExit(), timeout]);
  if (ended === 0) return;
  item.signal('SIGKILL');
  await item.waitForExit();
  throw new Error(`planned stop of ${node}: expected exit code 0, got ${ended}`);
};

const INJECTORS: Readonly<
  Record<FaultKind, (cluster: Cluster, fault: PlannedFault) => Promise<void>>
> = {
  kill: async (cluster, { node, durationMs }) => {
    const item = findProcess(cluster, node);
    item.signal('SIGKILL');
    await item.waitForExit();
    await sleep(durationMs);
    await item.start();
  },
  freeze: async (cluster, { node, durationMs }) => {
    const item = findProcess(cluster, node);
    item.signal('SIGSTOP');
    await sleep(durationMs);
    item.signal('SIGCONT');
  },
  cutRequests: createCut('toTarget'),
  cutAnswers: createCut('toCaller'),
  silence: async (cluster, { node }) => cluster.relays.get(node)!.silence(),
  cutControl: async (cluster, { node, durationMs }) => {
    const relays = listControlRelays(cluster, node);
    relays.forEach((relay) => relay.cut('toCaller'));
    await sleep(durationMs);
    relays.forEach((relay) => relay.restore());
  },
  plannedStop: async (cluster, { node, durationMs }) => {
    try {
      await stopInTime(cluster, node);
    } finally {
      await sleep(durationMs);
      await findProcess(cluster, node).start();
    }
  },
};

/** Injects a fault at its start time and ends it. Returns its record and a failure, if any. */
export const runFault = async (
  cluster: Cluster,
  fault: PlannedFault,
): Promise<{ readonly record: FaultRecord; readonly failure?: string }> => {
  await sleep(fault.startMs);
  const { kind, node } = fault;
  const startedAt = Date.now();
  try {
    await INJECTORS[kind](cluster, fault);
    return { record: { kind, node, startedAt, endedAt: Date.now() } };
  } catch (cause) {
    const failure = (cause as Error).message.slice(0, 2_000);
    return { record: { kind, node, startedAt, endedAt: Date.now() }, failure };
  }
};
