import { setTimeout as sleep } from 'node:timers/promises';
import type { LedgerCommand } from '../src/node/ledger';
import { createRpcClient, type RpcClient } from '../src/node/rpc';
import { INTERNAL_SECRET, startCluster, type Cluster } from '../src/node/__tests__/cluster';
import {
  countBytes,
  printFit,
  printHeader,
  readControlCpu,
  readResident,
  type Point,
} from './points';

const SETTLE_MS = 1_500;
const MILLI = 1_000;
const KILOBYTE = 1_024;

const LEDGER_CLIENTS = [1, 4, 16, 32] as const;
const CLIENT_RATE = 10;
const LEDGER_SECONDS = 6;
const RECORD_COUNTS = [0, 10_000, 20_000, 40_000] as const;
const RECORD_BATCH = 200;

// The commands that an entry writes for one request, before and after its attempt.
const createCommands = (requestId: string): readonly [LedgerCommand, LedgerCommand] => {
  const owner = { node: 'entry-1', incarnation: 1 };
  const place = { attempt: 0, agent: 'agent-1', incarnation: 1, model: 'small', version: 'v1' };
  const tokens = { model: 'small', version: 'v1', inputTokens: 20, outputTokens: 300, cost: 0.1 };
  const common = { organisation: 'yard', requestId, owner, at: Date.now() };
  return [
    { type: 'intent', ...common, ...place },
    {
      type: 'settle',
      ...common,
      outcome: 'ran',
      reports: [{ ...place, outcome: 'ran', usage: tokens }],
    },
  ];
};

const proposeTo = async (
  rpc: RpcClient,
  control: string,
  commands: readonly LedgerCommand[],
): Promise<void> => {
  const answer = await rpc.call(control, 'ledger.propose', { commands }, { timeoutMs: 10_000 });
  answer.unsafeCoerce();
};

const runLedgerClient = async (cluster: Cluster, index: number, tag: string): Promise<void> => {
  const rpc = createRpcClient({ secret: INTERNAL_SECRET });
  const control = cluster.controls[index % cluster.controls.length]!;
  const open: Promise<void>[] = [];
  const sendRequest = async (name: string): Promise<void> => {
    const [intent, settle] = createCommands(name);
    await proposeTo(rpc, control, [intent]);
    await proposeTo(rpc, control, [settle]);
  };
  for (let sent = 0; sent < CLIENT_RATE * LEDGER_SECONDS; sent += 1) {
    open.push(sendRequest(`req_${tag}_${index}_${sent}`));
    await sleep(MILLI / CLIENT_RATE);
  }
  await Promise.all(open);
  await rpc.close();
};

const runLedgerLoad = async (cluster: Cluster): Promise<void> => {
  const cpu: Point[] = [];
  const bytes: Point[] = [];
  for (const clients of LEDGER_CLIENTS) {
    const started = readControlCpu(cluster);
    const before = countBytes();
    const begin = Date.now();
    await Promise.all(
      Array.from({ length: clients }, (_, index) => runLedgerClient(cluster, index, `${clients}`)),
    );
    const seconds = (Date.now() - begin) / MILLI;
    const after = countBytes();
    const total = after.sent + after.received - before.sent - before.received;
    cpu.push([clients * CLIENT_RATE, ((readControlCpu(cluster) - started) * MILLI) / seconds]);
    bytes.push([clients * CLIENT_RATE, total / KILOBYTE / seconds]);
  }
  printHeader(`Requests per second in the ledger from entries of ${CLIENT_RATE} requests/s each`);
  printFit('control: processor, ms/s, all hosts', cpu, 0);
  printFit('entries and control, KB/s, both ways', bytes, 0);
};

const listNames = (from: number): readonly string[] =>
  Array.from({ length: RECORD_BATCH }, (_, index) => `req_m_${from + index}`);

const runLedgerRecords = async (cluster: Cluster): Promise<void> => {
  const rpc = createRpcClient({ secret: INTERNAL_SECRET });
  const memory: Point[] = [];
  let count = 0;
  for (const size of RECORD_COUNTS) {
    for (; count < size; count += RECORD_BATCH) {
      const names = listNames(count);
      await proposeTo(rpc, cluster.controls[0]!, names.flatMap(createCommands));
    }
    await sleep(SETTLE_MS);
    memory.push([size, readResident(cluster, 'control-1')]);
  }
  printHeader('Settled requests with their bills in the ledger');
  printFit('control-1: resident MB', memory, 0);
  await rpc.close();
};

/** Measures CPU time, bytes and memory of the ledger per request. */
export const runLedger = async (controls: number): Promise<void> => {
  const cluster = await startCluster({ controls, engines: [] });
  await sleep(SETTLE_MS);
  await runLedgerLoad(cluster);
  await runLedgerRecords(cluster);
  await cluster.stop();
};
