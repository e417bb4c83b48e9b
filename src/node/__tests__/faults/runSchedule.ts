import { setTimeout as sleep } from 'node:timers/promises';
import type { Bill } from '../../ledger';
import {
  callEntry,
  createClusterInventory,
  SERVICE,
  startCluster,
  waitFor,
  type Cluster,
} from '../cluster';
import type { History, RunRecord } from '../history';
import { createCallers } from './callers';
import { runFault } from './injector';
import { createOperators } from './operators';
import { createDraws, type Schedule } from './schedule';

/** The result of a schedule run. */
export interface ScheduleRun {
  readonly history: History;
  /** Faults that were not injected as planned, for example a stop with an unexpected exit code. */
  readonly failures: readonly string[];
  /** The last part of each process's log, for reports. */
  readonly logs: ReadonlyMap<string, string>;
}

const OPERATION = /op-\d+-end/;
const SETTLE_TIMEOUT_MS = 15_000;
const LOG_CHARACTERS = 4_000;

const findOperation = (text: string): string => OPERATION.exec(text)?.[0] ?? '';

const listRuns = (cluster: Cluster): readonly RunRecord[] => {
  const modelRuns = cluster.engines.flatMap((engine, index) =>
    engine.listRuns().map((run) => ({
      operation: findOperation(run.input),
      requestId: run.requestId,
      endpoint: `engine-${index + 1}`,
      target: run.model,
      startedAt: run.startedAt,
      isDone: run.state === 'done',
      sent: run.sent,
      inputTokens: run.inputTokens,
      outputTokens: run.outputTokens,
    })),
  );
  const serviceRuns = cluster.service.listCalls().map((call) => ({
    operation: findOperation(call.path),
    requestId: call.requestId,
    endpoint: 'service-1',
    target: SERVICE,
    startedAt: call.startedAt,
    isDone: true,
    sent: call.output,
    inputTokens: 0,
    outputTokens: 0,
  }));
  return [...modelRuns, ...serviceRuns];
};

// Requests that were sent to check that the cluster is ready are not part of the history.
const listLoadRuns = (runs: readonly RunRecord[]): readonly RunRecord[] =>
  runs.filter((run) => run.operation !== '');

const listLoadBills = (bills: readonly Bill[], runs: readonly RunRecord[]): readonly Bill[] => {
  const others = new Set(runs.filter((run) => run.operation === '').map((run) => run.requestId));
  return bills.filter((bill) => bill.final && !others.has(bill.requestId));
};

const listBills = async (cluster: Cluster): Promise<readonly Bill[]> => {
  for (let control = 0; control < cluster.controls.length; control += 1) {
    const answer = await cluster.callAdmin(control, 'GET', '/admin/bills').catch(() => undefined);
    if (answer?.status === 200) return (answer.body as { readonly bills: readonly Bill[] }).bills;
  }
  return [];
};

const waitForBills = async (cluster: Cluster): Promise<readonly Bill[]> => {
  const deadline = Date.now() + SETTLE_TIMEOUT_MS;
  for (;;) {
    const bills = await listBills(cluster);
    const billed = new Set(bills.filter((bill) => bill.final).map((bill) => bill.requestId));
    const isAllBilled = listRuns(cluster).every((run) => billed.has(run.requestId));
    if (isAllBilled || Date.now() > deadline) return bills;
    await sleep(SETTLE_TIMEOUT_MS / 30);
  }
};

const startFaultCluster = async (leaseMs?: number): Promise<Cluster> => {
  const cluster = await startCluster({
    controls: 3,
    entries: 2,
    engines: [{}, {}],
    hasRelays: true,
    leaseMs,
    inventory: createClusterInventory({ mark: 0, stableVersion: 'v2', isWithdrawn: false }),
  });
  return cluster;
};

const isServing = async (entry: string): Promise<boolean> => {
  const common = { entry, organisation: 'yard', text: 'first' } as const;
  const model = await callEntry({ ...common, kind: 'plain' });
  const service = await callEntry({ ...common, kind: 'service', method: 'GET' });
  return model.status === 200 && service.status === 200;
};

const createPlaces = (cluster: Cluster): ReadonlyMap<string, string> =>
  new Map([
    ['agent-1', 'engine-1'],
    ['agent-2', 'engine-2'],
    ['agent-3', 'service-1'],
    ...cluster.entries.map((address, index) => [`entry-${index + 1}`, address] as const),
  ]);

const runOnCluster = async (cluster: Cluster, schedule: Schedule): Promise<ScheduleRun> => {
  const callers = createCallers(cluster, createDraws(schedule.seed + 1));
  const operators = createOperators(cluster, createDraws(schedule.seed + 2), schedule);
  const [faults] = await Promise.all([
    Promise.all(schedule.faults.map((fault) => runFault(cluster, fault))),
    callers.run(),
    operators.run(),
  ]);
  await callers.waitForDeferred();
  const bills = await waitForBills(cluster);
  const runs = listRuns(cluster);
  const history: History = {
    calls: callers.listCalls(),
    runs: listLoadRuns(runs),
    bills: listLoadBills(bills, runs),
    withdrawals: operators.listWithdrawals(),
    leavings: operators.listLeavings(),
    faults: faults.map(({ record }) => record),
    samples: operators.listSamples(),
    operators: operators.listRecords(),
    places: createPlaces(cluster),
  };
  const logs = [...cluster.processes.values()].map(
    (item) => [item.node, item.readLog().slice(-LOG_CHARACTERS)] as const,
  );
  const failures = faults.flatMap(({ failure }) => (failure === undefined ? [] : [failure]));
  const refusals = operators.listRefusals();
  const open = bills.filter((bill) => !bill.final);
  const allLogs = new Map([...logs, ['open bills', JSON.stringify(open)]]);
  return { history, failures: [...failures, ...refusals], logs: allLogs };
};

/**
 * Runs a schedule on a new cluster and collects the history. A `leaseMs` longer than the
 * guarantees allow causes violations.
 */
export const runSchedule = async (schedule: Schedule, leaseMs?: number): Promise<ScheduleRun> => {
  const cluster = await startFaultCluster(leaseMs);
  try {
    for (const entry of cluster.entries) await waitFor('every endpoint', () => isServing(entry));
    return await runOnCluster(cluster, schedule);
  } finally {
    await cluster.stop();
  }
};
