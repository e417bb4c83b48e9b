import type { RpcClient } from '../rpc';
import type { Message } from './core';

/** A message with the name of its replication group. */
export interface GroupMessage {
  readonly group: string;
  readonly message: Message;
}

/** The answer of `replication.deliver`: the messages that wait for the caller. */
export interface DeliverAnswer {
  readonly messages: readonly GroupMessage[];
}

/** Dependencies of a transport. */
export interface TransportOptions {
  readonly rpc: RpcClient;
  readonly receive: (messages: readonly GroupMessage[]) => void;
  /** Called for each message that may have been lost. */
  readonly handleLost: (lost: GroupMessage) => void;
}

/**
 * Sends messages between control hosts in batches. The reply to a call carries the messages that
 * wait for the caller.
 */
export interface Transport {
  readonly send: (messages: readonly GroupMessage[]) => void;
  /** Removes and returns messages for a peer, to send them in the reply to its call. */
  readonly takePending: (address: string) => readonly GroupMessage[];
  /** Sends messages that have waited because of a slow call. */
  readonly tick: () => void;
  readonly stop: () => void;
}

interface Outbox {
  readonly address: string;
  pending: GroupMessage[];
  activeCalls: number;
  /** Ticks since the last call started. */
  ticksSinceCall: number;
}

const CALL_TIMEOUT_MS = 700;
const MAX_CONCURRENT_CALLS = 4;
/** Ticks after which another call may start while a slow one is not answered. */
const SLOW_CALL_TICKS = 2;
const MAX_CALL_CHARACTERS = 1024 * 1024;
const MAX_PENDING_MESSAGES = 2_000;

const countCharacters = ({ message: { body } }: GroupMessage): number => {
  if (body.type === 'append') return body.entries.reduce((sum, e) => sum + e.data.length, 0);
  if (body.type === 'propose') return body.items.reduce((sum, e) => sum + e.data.length, 0);
  return body.type === 'snapshot' ? body.data.length : 0;
};

const takeBatch = (outbox: { pending: GroupMessage[] }): readonly GroupMessage[] => {
  let size = 0;
  let count = 0;
  for (const groupMessage of outbox.pending) {
    size += countCharacters(groupMessage);
    if (count > 0 && size > MAX_CALL_CHARACTERS) break;
    count += 1;
  }
  return outbox.pending.splice(0, count);
};

/** Creates a transport over JSON-RPC. */
export const createTransport = (options: TransportOptions): Transport => {
  const outboxes = new Map<string, Outbox>();
  let isStopped = false;

  const resolveOutbox = (address: string): Outbox => {
    const known = outboxes.get(address);
    if (known) return known;
    const created: Outbox = { address, pending: [], activeCalls: 0, ticksSinceCall: 0 };
    outboxes.set(address, created);
    return created;
  };

  const callPeer = async (state: Outbox): Promise<void> => {
    const messages = takeBatch(state);
    state.activeCalls += 1;
    state.ticksSinceCall = 0;
    const answer = await options.rpc.call<DeliverAnswer>(
      state.address,
      'replication.deliver',
      { messages },
      { timeoutMs: CALL_TIMEOUT_MS },
    );
    state.activeCalls -= 1;
    if (isStopped) return;
    answer.ifRight((delivered) => options.receive(delivered.messages));
    answer.ifLeft(() => {
      messages.forEach(options.handleLost);
      state.pending.splice(0).forEach(options.handleLost);
    });
  };

  const sendPending = (state: Outbox): void => {
    const isFree = state.activeCalls === 0 || state.ticksSinceCall >= SLOW_CALL_TICKS;
    if (
      isStopped ||
      state.pending.length === 0 ||
      !isFree ||
      state.activeCalls >= MAX_CONCURRENT_CALLS
    )
      return;
    callPeer(state).then(
      () => sendPending(state),
      () => {},
    );
  };

  return {
    send: (messages) => {
      const changedOutboxes = new Set<Outbox>();
      for (const routed of messages) {
        const state = resolveOutbox(routed.message.to.address);
        if (state.pending.length < MAX_PENDING_MESSAGES) state.pending.push(routed);
        changedOutboxes.add(state);
      }
      changedOutboxes.forEach(sendPending);
    },
    takePending: (address) => {
      const known = outboxes.get(address);
      return known ? takeBatch(known) : [];
    },
    tick: () => {
      for (const state of outboxes.values()) {
        state.ticksSinceCall += 1;
        sendPending(state);
      }
    },
    stop: () => {
      isStopped = true;
    },
  };
};
