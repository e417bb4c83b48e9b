import type { RpcClient } from '../rpc';
import type { Message } from './core';

/** A message with the name of its replication group. */
export interface Routed {
  readonly group: string;
  readonly message: Message;
}

/** The answer of `replication.deliver`: the messages that wait for the caller. */
export interface Delivered {
  readonly messages: readonly Routed[];
}

/** Dependencies of a transport. */
export interface TransportOptions {
  readonly rpc: RpcClient;
  readonly receive: (messages: readonly Routed[]) => void;
  /** Called for each message that may have been lost. */
  readonly handleLost: (lost: Routed) => void;
}

/**
 * Sends messages between control hosts in batches. The reply to a call carries the messages that
 * wait for the caller.
 */
export interface Transport {
  readonly send: (messages: readonly Routed[]) => void;
  /** Removes and returns messages for a peer, to send them in the reply to its call. */
  readonly takeWaiting: (address: string) => readonly Routed[];
  /** Sends messages that have waited because of a slow call. */
  readonly tick: () => void;
  readonly stop: () => void;
}

interface Outbox {
  readonly address: string;
  waiting: Routed[];
  calls: number;
  /** Ticks since the last call started. */
  age: number;
}

const CALL_TIMEOUT_MS = 700;
const CALLS_LIMIT = 4;
/** Ticks after which another call may start while a slow one is not answered. */
const SLOW_TICKS = 2;
const CALL_CHARACTERS = 1024 * 1024;
const WAITING_LIMIT = 2_000;

const countSize = ({ message: { body } }: Routed): number => {
  if (body.type === 'append') return body.entries.reduce((sum, e) => sum + e.data.length, 0);
  if (body.type === 'propose') return body.items.reduce((sum, e) => sum + e.data.length, 0);
  return body.type === 'snapshot' ? body.data.length : 0;
};

const removeBatch = (outbox: { waiting: Routed[] }): readonly Routed[] => {
  let size = 0;
  let count = 0;
  for (const routed of outbox.waiting) {
    size += countSize(routed);
    if (count > 0 && size > CALL_CHARACTERS) break;
    count += 1;
  }
  return outbox.waiting.splice(0, count);
};

/** Creates a transport over JSON-RPC. */
export const createTransport = (options: TransportOptions): Transport => {
  const outboxes = new Map<string, Outbox>();
  let isStopped = false;

  const resolveOutbox = (address: string): Outbox => {
    const known = outboxes.get(address);
    if (known) return known;
    const created: Outbox = { address, waiting: [], calls: 0, age: 0 };
    outboxes.set(address, created);
    return created;
  };

  const callPeer = async (state: Outbox): Promise<void> => {
    const messages = removeBatch(state);
    state.calls += 1;
    state.age = 0;
    const answer = await options.rpc.call<Delivered>(
      state.address,
      'replication.deliver',
      { messages },
      { timeoutMs: CALL_TIMEOUT_MS },
    );
    state.calls -= 1;
    if (isStopped) return;
    answer.ifRight((delivered) => options.receive(delivered.messages));
    answer.ifLeft(() => {
      messages.forEach(options.handleLost);
      state.waiting.splice(0).forEach(options.handleLost);
    });
  };

  const sendWaiting = (state: Outbox): void => {
    const isFree = state.calls === 0 || state.age >= SLOW_TICKS;
    if (isStopped || state.waiting.length === 0 || !isFree || state.calls >= CALLS_LIMIT) return;
    callPeer(state).then(
      () => sendWaiting(state),
      () => {},
    );
  };

  return {
    send: (messages) => {
      const touched = new Set<Outbox>();
      for (const routed of messages) {
        const state = resolveOutbox(routed.message.to.address);
        if (state.waiting.length < WAITING_LIMIT) state.waiting.push(routed);
        touched.add(state);
      }
      touched.forEach(sendWaiting);
    },
    takeWaiting: (address) => {
      const known = outboxes.get(address);
      return known ? removeBatch(known) : [];
    },
    tick: () => {
      for (const state of outboxes.values()) {
        state.age += 1;
        sendWaiting(state);
      }
    },
    stop: () => {
      isStopped = true;
    },
  };
};
