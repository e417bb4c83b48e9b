import { randomUUID } from 'node:crypto';
import { performance } from 'node:perf_hooks';
import { setImmediate as waitForEventLoop, setTimeout as sleep } from 'node:timers/promises';
import { Left, Right } from 'purify-ts';
import { createError } from '../errors';
import type { Logger } from '../log';
import { createApplier, type Applier, type ApplierState } from './applier';
import { createCompaction } from './compaction';
import { createCore, type Core, type Message, type Ready } from './core';
import { CHUNK_BYTES } from './core/snapshotTransfer';
import { decodeSnapshot, type Store } from './disk';
import { createProposals } from './proposals';
import { createReadQueue } from './readQueue';
import { createTurnLoop } from './turnLoop';
import type { Replica, ReplicaStatus, StateMachine } from './types';

/** Dependencies and settings of a replica. */
export interface ReplicaOptions<Command, Result> {
  readonly group: string;
  readonly self: { readonly node: string; readonly address: string };
  readonly peers: readonly { readonly node: string; readonly address: string }[];
  readonly machine: StateMachine<Command, Result>;
  readonly store: Store;
  readonly send: (messages: readonly Message[]) => void;
  readonly log: Logger;
  readonly campaignsEarly?: boolean;
  readonly hasOpenMembership?: boolean;
  /** Called when the disk fails. The process must exit without sending another message. */
  readonly handleFailure: (cause: unknown) => void;
}

/** A replica with the functions that its replication host calls. */
export interface HostedReplica<Command, Result> extends Replica<Command, Result> {
  /** Handles messages and resolves when their answers have been passed to `send`. */
  readonly receive: (messages: readonly Message[]) => Promise<void>;
  readonly tick: () => void;
  readonly handleUnreachable: (store: string) => void;
}

/** How long a planned stop waits until this host is no longer the leader. */
const TRANSFER_TIMEOUT_MS = 500;
const TRANSFER_POLL_MS = 10;
const APPLY_BATCH_ENTRIES = 1_000;

const readChunkBody = async (store: Store, message: Message): Promise<Message | undefined> => {
  const { body } = message;
  if (body.type !== 'snapshot') return message;
  const chunk = await store.readChunk(body.index, body.offset, CHUNK_BYTES);
  if (!chunk) return undefined;
  return { ...message, body: { ...body, data: chunk.toString('base64') } };
};

const convertStatus = (group: string, core: Core, applied: number): ReplicaStatus => {
  const { role, term, leader, commit, members } = core.status();
  return {
    group,
    role,
    term,
    leader: leader?.node ?? '',
    leaderAddress: leader?.address ?? '',
    committed: commit,
    applied,
    members: members.map((member) => member.node),
    voters: members.filter((member) => member.role === 'voter').map((member) => member.node),
  };
};

const createRoleLogger = (group: string, core: Core, log: Logger) => {
  let lastLine = '';
  let lastForeignGroupNode = '';
  return {
    record: (): void => {
      const { role, term, leader, foreignGroupNode } = core.status();
      if (foreignGroupNode !== lastForeignGroupNode) {
        lastForeignGroupNode = foreignGroupNode;
        log.error(
          { group, peer: foreignGroupNode },
          'the store of this peer belongs to a different replication group',
        );
      }
      const line = `${role} ${term} ${leader?.node}`;
      if (line === lastLine) return;
      lastLine = line;
      log.info({ group, role, term, leader: leader?.node ?? '' }, 'role changed');
    },
  };
};

const createSender = (
  options: Pick<ReplicaOptions<never, never>, 'store' | 'send' | 'handleFailure'>,
) => {
  const { store, send, handleFailure } = options;
  const isChunk = (message: Message): boolean => message.body.type === 'snapshot';

  const sendChunks = async (messages: readonly Message[]): Promise<void> => {
    const filled = await Promise.all(messages.map((message) => readChunkBody(store, message)));
    send(filled.filter((message) => message !== undefined));
  };

  return {
    send: (messages: readonly Message[]): void => {
      if (messages.length === 0) return;
      const chunks = messages.filter(isChunk);
      send(messages.filter((message) => !isChunk(message)));
      if (chunks.length > 0) sendChunks(chunks).catch(handleFailure);
    },
  };
};

const releaseLeadership = async (core: Core, schedule: () => void): Promise<void> => {
  if (!core.startLeadershipTransfer()) return;
  schedule();
  const end = performance.now() + TRANSFER_TIMEOUT_MS;
  while (core.status().role === 'leader' && performance.now() < end) await sleep(TRANSFER_POLL_MS);
};

const createReplicaCore = (options: ReplicaOptions<never, unknown>): Core =>
  createCore({
    self: options.self,
    peers: options.peers,
    initial: options.store.initial,
    random: Math.random,
    createGroupId: randomUUID,
    campaignsEarly: options.campaignsEarly,
    hasOpenMembership: options.hasOpenMembership,
  });

/**
 * Creates the replica of one group on this host, which drives its core, store and state machine.
 */
export const createReplica = <Command, Result>(
  options: ReplicaOptions<Command, Result>,
): HostedReplica<Command, Result> => {
  const { group, store, log, handleFailure } = options;
  const core = createReplicaCore(options);
  const applier: Applier<Result> = createApplier(options.machine);
  if (store.snapshot) applier.restore(store.snapshot.state as ApplierState);
  const proposals = createProposals<Result>(core);
  const reads = createReadQueue(core);
  const compaction = createCompaction(core, applier, store, handleFailure);
  const sender = createSender(options);
  const roleLog = createRoleLogger(group, core, log);
  let isMarkerDue = false;
  let isStopped = false;

  const applyCommitted = async (commit: number): Promise<void> => {
    while (applier.applied() < commit && !isStopped) {
      const from = applier.applied() + 1;
      const entries = core.listEntries(from, Math.min(commit, from + APPLY_BATCH_ENTRIES - 1));
      // A snapshot has replaced the log in the meantime; the next turn installs it.
      if (entries[0]?.index !== from) return;
      for (const entry of entries) {
        proposals.handleApplied(applier.apply(entry), entry.index, entry.term);
        compaction.handleApplied(entry.data.length);
      }
      reads.handleApplied(applier.applied());
      if (applier.applied() < commit) await waitForEventLoop();
    }
  };

  const installSnapshot = ({ index, file }: NonNullable<Ready['install']>): void => {
    const state = decodeSnapshot(file).unsafeCoerce().state as ApplierState;
    applier.restore(state);
    compaction.handleInstalled(index, file.length);
    proposals.handleInstalled(new Set(state.recent.map(([, id]) => id)), state.applied);
    reads.handleApplied(state.applied);
    log.info({ group, index }, 'snapshot installed');
  };

  const runReady = async (ready: Ready): Promise<void> => {
    sender.send(ready.messagesBeforeSync);
    const { identity, install, hardState, entries } = ready;
    if (identity || install || hardState || entries.length > 0) {
      await store.write({ identity, install, hardState, entries });
      isMarkerDue = true;
    }
    if (install) installSnapshot(install);
    sender.send(ready.messagesAfterSync);
    core.handleSynced(ready.synced);
    await applyCommitted(ready.commit);
    ready.reads.forEach((read) => reads.handleConfirmed(read, applier.applied()));
  };

  const loop = createTurnLoop({
    runTurn: async () => {
      proposals.send();
      reads.send();
      const ready = core.takeReady();
      if (ready) await runReady(ready);
      roleLog.record();
      compaction.advance();
      return ready !== undefined;
    },
    handleIdle: async () => {
      if (isMarkerDue) await store.writeMarker();
      isMarkerDue = false;
    },
    handleFailure,
  });

  const replaceMember: Replica<Command, Result>['replaceMember'] = async (lost, by) => {
    const refusal = core.replaceMember(lost, by);
    loop.schedule();
    if (!refusal) return Right(undefined);
    const peer = core.status().leader?.node ?? '';
    const step = 'replication.replace';
    return Left(createError({ type: 'conflict', message: refusal, step, peer }));
  };

  // The only host of a group becomes the leader at its first tick.
  core.tick();
  loop.schedule();

  return {
    propose: (command) => {
      const answer = proposals.add(JSON.stringify(command), applier.applied());
      loop.schedule();
      return answer;
    },
    confirmRead: () => {
      const answer = reads.add();
      loop.schedule();
      return answer;
    },
    status: () => convertStatus(group, core, applier.applied()),
    replaceMember,
    receive: async (messages) => {
      try {
        messages.forEach(core.receive);
      } catch (cause) {
        // After a violated invariant the state must not be used any more.
        handleFailure(cause);
        throw cause;
      }
      await loop.waitForTurn();
    },
    tick: () => {
      core.tick();
      proposals.tick();
      reads.tick();
      loop.schedule();
    },
    handleUnreachable: core.handleUnreachable,
    stop: async () => {
      if (!isStopped) await releaseLeadership(core, loop.schedule);
      isStopped = true;
      await loop.stop();
      await compaction.stop();
      proposals.stop();
      reads.stop();
      await store.close();
    },
  };
};
