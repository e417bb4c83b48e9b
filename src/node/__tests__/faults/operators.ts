import { setTimeout as sleep } from 'node:timers/promises';
import { request } from 'undici';
import {
  createClusterInventory,
  KEYS,
  readMark,
  type Cluster,
  type InventoryFlags,
} from '../cluster';
import type { ConfigSample, OperatorRecord, Removal } from '../history';
import { LOAD_MS, type Draws, type Schedule } from './schedule';

/** Operators that write concurrently, and readers that sample the configuration of each entry. */
export interface Operators {
  readonly run: () => Promise<void>;
  readonly listRecords: () => readonly OperatorRecord[];
  readonly listSamples: () => readonly ConfigSample[];
  readonly listWithdrawals: () => readonly Removal[];
  readonly listLeavings: () => readonly Removal[];
  /** Changes that control refused as invalid. Any such change is a fault in the test itself. */
  readonly listRefusals: () => readonly string[];
}

const OPERATORS = 2;
const PAUSE_MS = 400;
const SAMPLE_PAUSE_MS = 200;
const SAMPLE_TIMEOUT_MS = 2_000;
const WITHDRAWN = 'small@v2';
const LEAVING = 'engine-1';
/** Time for which readers continue after the load, so that they see the last change in force. */
const TAIL_MS = 8_000;

interface ReadAnswer {
  readonly revision: number;
  readonly inventory: { readonly models: readonly { readonly name: string }[] } | null;
}

/** Creates the operators of one schedule run. Marks start at 1. */
export const createOperators = (cluster: Cluster, draws: Draws, schedule: Schedule): Operators => {
  const records: OperatorRecord[] = [];
  const samples: ConfigSample[] = [];
  const withdrawals: Removal[] = [];
  const leavings: Removal[] = [];
  const refusals: string[] = [];
  let startedAt = 0;
  let nextMark = 1;

  const chooseControl = (): number => draws.readInteger(cluster.controls.length);

  const createFlags = (mark: number): InventoryFlags => {
    const elapsed = Date.now() - startedAt;
    const isWithdrawn = elapsed >= schedule.withdrawMs;
    const isLeaving = schedule.leaveMs !== undefined && elapsed >= schedule.leaveMs;
    return {
      mark,
      stableVersion: isWithdrawn ? 'v1' : 'v2',
      isWithdrawn,
      leaving: isLeaving ? LEAVING : undefined,
    };
  };

  const read = async (): Promise<ReadAnswer | undefined> => {
    const begin = Date.now();
    try {
      const answer = await cluster.callAdmin(chooseControl(), 'GET', '/admin/inventory');
      if (answer.status !== 200) return undefined;
      const body = answer.body as ReadAnswer;
      const mark = readMark((body.inventory?.models ?? []).map((model) => model.name));
      const action = { type: 'read', revision: body.revision, mark } as const;
      records.push({ startedAt: begin, endedAt: Date.now(), action });
      return body;
    } catch {
      return undefined;
    }
  };

  const recordRemovals = (flags: InventoryFlags): void => {
    const acceptedAt = Date.now();
    if (flags.isWithdrawn && withdrawals.length === 0) {
      withdrawals.push({ name: WITHDRAWN, acceptedAt });
    }
    if (flags.leaving !== undefined && leavings.length === 0) {
      leavings.push({ name: flags.leaving, acceptedAt });
    }
  };

  const write = async (base: number): Promise<void> => {
    const mark = nextMark;
    nextMark += 1;
    const begin = Date.now();
    const flags = createFlags(mark);
    const body = { base, changeId: `change-${mark}`, inventory: createClusterInventory(flags) };
    let answer: 'accepted' | 'conflict' | 'unknown' = 'unknown';
    try {
      const { status } = await cluster.callAdmin(chooseControl(), 'PUT', '/admin/inventory', body);
      if (status === 200) answer = 'accepted';
      if (status === 409) answer = 'conflict';
      if (status === 400) refusals.push(`change-${mark} was refused as invalid`);
    } catch {
      answer = 'unknown';
    }
    if (answer === 'accepted') recordRemovals(flags);
    const action = { type: 'write', base, mark, answer } as const;
    const endedAt = answer === 'unknown' ? undefined : Date.now();
    records.push({ startedAt: begin, endedAt, action });
  };

  const runOperator = async (): Promise<void> => {
    while (Date.now() < startedAt + LOAD_MS) {
      const known = await read();
      if (known) await write(known.revision);
      await sleep(PAUSE_MS + draws.readInteger(PAUSE_MS));
    }
  };

  const sample = async (entry: string): Promise<void> => {
    const begin = Date.now();
    try {
      const response = await request(`http://${entry}/v1/models`, {
        headers: { authorization: `Bearer ${KEYS.rack}` },
        signal: AbortSignal.timeout(SAMPLE_TIMEOUT_MS),
      });
      const body = (await response.body.json()) as {
        readonly data?: readonly { readonly id: string }[];
      };
      if (response.statusCode !== 200 || !body.data) return;
      const mark = readMark(body.data.map((model) => model.id));
      samples.push({ entry, mark, startedAt: begin, endedAt: Date.now() });
    } catch {
      // An entry that is down or frozen gives no sample.
    }
  };

  const runSampler = async (entry: string): Promise<void> => {
    while (Date.now() < startedAt + LOAD_MS + TAIL_MS) {
      await sample(entry);
      await sleep(SAMPLE_PAUSE_MS);
    }
  };

  return {
    run: async () => {
      startedAt = Date.now();
      const operators = Array.from({ length: OPERATORS }, runOperator);
      await Promise.all([...operators, ...cluster.entries.map(runSampler)]);
    },
    listRecords: () => records,
    listSamples: () => samples,
    listWithdrawals: () => withdrawals,
    listLeavings: () => leavings,
    listRefusals: () => refusals,
  };
};
