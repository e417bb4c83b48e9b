import { createError, type RouterError } from '../errors';
import type { LeaseClient } from '../lease';
import type { LedgerCommand, LedgerResult, RequestRecord } from '../ledger';
import type { RpcClient } from '../rpc';

/** Writes to and reads from the ledger through a control host. */
export interface LedgerClient {
  readonly propose: (command: LedgerCommand) => Promise<LedgerResult>;
  readonly find: (organisation: string, requestId: string) => Promise<RequestRecord | undefined>;
}

interface Waiting {
  readonly command: LedgerCommand;
  readonly resolve: (result: LedgerResult) => void;
  readonly reject: (error: RouterError) => void;
}

const BATCH_LIMIT = 500;
const TRIES = 4;

/** Creates a client that sends what waits in one batch at a time. */
export const createLedgerClient = (rpc: RpcClient, lease: LeaseClient): LedgerClient => {
  const waiting: Waiting[] = [];
  let isSending = false;

  // Every ledger command names its request or key, so repeating one does not apply it twice.
  const callWithRetry = async <T>(method: string, params: unknown): Promise<T> => {
    let last: RouterError | undefined;
    for (let attempt = 0; attempt < TRIES; attempt += 1) {
      const answer = await rpc.call<T>(lease.controlAddress(), method, params);
      if (answer.isRight()) return answer.extract();
      last = answer.extract() as RouterError;
      lease.chooseNextControl();
    }
    throw createError({
      type: 'unavailable',
      message: last?.message ?? 'no control host answers',
      step: method,
      peer: last?.peer ?? '',
      outcome: 'unknown',
    });
  };

  const sendBatch = async (): Promise<void> => {
    const batch = waiting.splice(0, BATCH_LIMIT);
    const commands = batch.map((item) => item.command);
    try {
      const results = await callWithRetry<readonly LedgerResult[]>('ledger.propose', { commands });
      batch.forEach((item, index) => item.resolve(results[index]!));
    } catch (cause) {
      batch.forEach((item) => item.reject(cause as RouterError));
    }
  };

  const sendAll = async (): Promise<void> => {
    if (isSending) return;
    isSending = true;
    while (waiting.length > 0) await sendBatch();
    isSending = false;
  };

  return {
    propose: (command) =>
      new Promise((resolve, reject) => {
        waiting.push({ command, resolve, reject });
        queueMicrotask(() => {
          sendAll().catch(() => {});
        });
      }),
    find: async (organisation, requestId) => {
      const params = { organisation, requestId };
      const record = await callWithRetry<RequestRecord | null>('ledger.find', params);
      return record ?? undefined;
    },
  };
};
