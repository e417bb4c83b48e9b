import { createApplier, type ApplierState } from '../applier';
import { createCore, type InjectedFaults, type Message, type Ready } from '../core';
import { decodeSnapshot, encodeSnapshot } from '../disk';
import { createProposals } from '../proposals';
import { createReadQueue } from '../readQueue';
import type { Oracle } from './oracle';
import { applyWrite, readInitial, type SimulatedDisk, type WrittenPart } from './simulatedDisk';

const SNAPSHOT_ENTRIES = 25;
const KEPT_ENTRIES = 5;
const CHUNK_BYTES = 600;

interface ListState {
  readonly values: readonly number[];
  readonly hash: number;
}

/** A state machine with a hash that depends on all values and their order. */
const createListMachine = (oracle: Oracle) => {
  let state: ListState = { values: [], hash: 0 };
  return {
    hash: () => state.hash,
    apply: (index: number, value: number): number => {
      oracle.recordValue(index, value);
      // eslint-disable-next-line no-bitwise -- a wrapping 32-bit hash
      const hash = (Math.imul(state.hash, 31) + value + index) | 0;
      state = { values: [...state.values, value], hash };
      return state.values.length;
    },
    snapshot: () => state,
    restore: (restored: unknown) => {
      state = restored as ListState;
    },
  };
};

export interface SimulatedNodeOptions {
  readonly name: string;
  readonly peers: readonly { readonly node: string; readonly address: string }[];
  readonly disk: SimulatedDisk;
  readonly oracle: Oracle;
  readonly random: () => number;
  readonly createGroupId: () => string;
  readonly injectedFaults: InjectedFaults | undefined;
  readonly send: (message: Message) => void;
}

/**
 * A process on a simulated disk. It does the work of the driver in the same order, step by step.
 */
export const createSimulatedNode = (options: SimulatedNodeOptions) => {
  const { name, oracle, random, send } = options;
  let { disk } = options;
  const core = createCore({
    self: { node: name, address: name },
    peers: options.peers,
    initial: readInitial(disk),
    random,
    createGroupId: options.createGroupId,
    maxAppendEntries: 2,
    injectedFaults: options.injectedFaults,
  });
  const machine = createListMachine(oracle);
  const applier = createApplier<number, number>(machine);
  const proposals = createProposals<number>(core);
  const reads = createReadQueue(core);
  let writing: { readonly ready: Ready; stepsLeft: number } | undefined;

  const restoreState = (file: Buffer): void => {
    applier.restore(decodeSnapshot(file).unsafeCoerce().state as ApplierState);
    oracle.recordState(applier.applied(), machine.hash());
  };
  if (disk.snapshotFile) restoreState(disk.snapshotFile);

  const sendAll = (messages: readonly Message[]): void =>
    messages.forEach((message) => {
      const { body } = message;
      if (body.type !== 'snapshot') {
        send(message);
        return;
      }
      const file = disk.snapshotFile;
      if (!file || decodeSnapshot(file).unsafeCoerce().index !== body.index) return;
      const chunk = file.subarray(body.offset, body.offset + CHUNK_BYTES);
      send({ ...message, body: { ...body, data: chunk.toString('base64') } });
    });

  const applyCommitted = (commit: number): void => {
    const entries = core.listEntries(applier.applied() + 1, commit);
    if (entries[0]?.index !== applier.applied() + 1) return;
    for (const entry of entries) {
      oracle.recordApplied(entry);
      proposals.handleApplied(applier.apply(entry), entry.index, entry.term);
      oracle.recordState(entry.index, machine.hash());
    }
    reads.handleApplied(applier.applied());
  };

  const snapshotIfDue = (): void => {
    const { baseIndex } = core.status();
    const index = applier.applied();
    const term = core.findTerm(index);
    if (index - baseIndex < SNAPSHOT_ENTRIES + KEPT_ENTRIES || term === undefined) return;
    const members = core.findMembers(index);
    const file = encodeSnapshot({ index, term, members, state: applier.snapshot() });
    const entries = disk.entries.filter((entry) => entry.index > index);
    disk = { ...disk, snapshotFile: file, entries };
    core.compact({ index, term, members, size: file.length }, index - KEPT_ENTRIES);
  };

  const runReady = (ready: Ready): void => {
    disk = applyWrite(disk, ready, 'all');
    writing = undefined;
    if (ready.install) {
      oracle.counts.installs += 1;
      restoreState(ready.install.file);
      const { recent, applied } = applier.snapshot();
      proposals.handleInstalled(new Set(recent.map(([, id]) => id)), applied);
      reads.handleApplied(applied);
    }
    sendAll(ready.messagesAfterSync);
    core.handleSynced(ready.synced);
    applyCommitted(ready.commit);
    ready.reads.forEach((read) => reads.handleConfirmed(read, applier.applied()));
    snapshotIfDue();
  };

  const advance = (): void => {
    if (writing) {
      writing.stepsLeft -= 1;
      if (writing.stepsLeft <= 0) runReady(writing.ready);
      return;
    }
    proposals.send();
    reads.send();
    const ready = core.takeReady();
    if (!ready) return;
    sendAll(ready.messagesBeforeSync);
    writing = { ready, stepsLeft: Math.floor(random() * 3) };
  };

  return {
    name,
    store: disk.identity.store,
    disk: () => disk,
    status: core.status,
    sendTransfer: core.startLeadershipTransfer,
    applied: applier.applied,
    advance,
    receive: core.receive,
    tick: () => {
      core.tick();
      proposals.tick();
      reads.tick();
    },
    propose: async (value: number): Promise<void> => {
      const answer = await proposals.add(JSON.stringify(value), applier.applied());
      answer.caseOf({
        Right: () => oracle.recordAccepted(value),
        Left: (error) => {
          if (error.outcome === 'not_run') oracle.recordRefused(value);
        },
      });
    },
    read: async (): Promise<void> => {
      const floor = oracle.maxApplied();
      const answer = await reads.add();
      answer.ifRight((point) => oracle.recordRead(floor, point.index, applier.applied()));
    },
    /** Returns the content of the disk after a crash. */
    crash: (part: WrittenPart): SimulatedDisk =>
      writing ? applyWrite(disk, writing.ready, part) : disk,
  };
};

export type SimulatedNode = ReturnType<typeof createSimulatedNode>;
