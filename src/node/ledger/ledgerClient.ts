import { createError, type RouterError } from '../errors';
import type { RpcClient } from '../rpc';
import type { LedgerCommand, LedgerResult, RequestRecord } from './types';

/** Tells which control host to call. */
export interface ControlHostSelector {
  /** The control host that answered last. */
  readonly controlAddress: () => string;
  /** Turns to the next one after a failure. */
  readonly chooseNextControl: () => void;
}

/** Writes to and reads from the ledger through a control host. */
export interface LedgerClient {
  /** Resolves once the command is committed; an error leaves open whether it will be. */
  readonly propose: (command: LedgerCommand) => Promise<LedgerResult>;
  readonly find: (organisation: string, requestId: string) => Promise<RequestRecord | undefined>;
  /** Sessions with deferred requests, as the asked host knows them; a hint only. */
  readonly countQueues: () => Promise<number>;
}

interface PendingCommand {
  readonly command: LedgerCommand;
  readonly resolve: (result: LedgerResult) => void;
  readonly reject: (error: RouterError) => void;
}

const MAX_BATCH_COMMANDS = 500;
const MAX_CONCURRENT_BATCHES = 4;
const MAX_CALL_ATTEMPTS = 4;

/** Creates a client that sends what waits in few batches at a time. */
export const createLedgerClient = (
  rpc: RpcClient,
  addresses: ControlHostSelector,
): LedgerClient => {
  const pending: PendingCommand[] = [];
  let activeBatchLoops = 0;

  // Every ledger command names its request or key, so repeating one does not apply it twice.
  const callWithRetry = async <T>(method: string, params: unknown): Promise<T> => {
    let last: RouterError | undefined;
    for (let attempt = 0; attempt < MAX_CALL_ATTEMPTS; attempt += 1) {
      const answer = await rpc.call<T>(addresses.controlAddress(), method, params);
      if (answer.isRight()) return answer.extract();
      last = answer.extract() as RouterError;
      addresses.chooseNextControl();
    }
    throw createError({
      type: 'unavailable',
      message: last?.message ?? 'no control host answers',
      step: method,
      peer: last?.peer ?? '',
      outcome: 'unknown',
    });
  };

  const sendBatch = async (batch: readonly PendingCommand[]): Promise<void> => {
    const commands = batch.map((item) => item.command);
    try {
      const results = await callWithRetry<readonly LedgerResult[]>('ledger.propose', { commands });
      batch.forEach((item, index) => item.resolve(results[index]!));
    } catch (cause) {
      batch.forEach((item) => item.reject(cause as RouterError));
    }
  };

  const sendAll = async (): Promise<void> => {
    if (activeBatchLoops >= MAX_CONCURRENT_BATCHES) return;
    activeBatchLoops += 1;
    while (pending.length > 0) await sendBatch(pending.splice(0, MAX_BATCH_COMMANDS));
    activeBatchLoops -= 1;
  };

  return {
    propose: (command) =>
      new Promise((resolve, reject) => {
        pending.push({ command, resolve, reject });
        setImmediate(() => {
          sendAll().catch(() => {});
        });
      }),
    find: async (organisation, requestId) => {
      const params = { organisation, requestId };
      const record = await callWithRetry<RequestRecord | null>('ledger.find', params);
      return record ?? undefined;
    },
    countQueues: () => callWithRetry<number>('ledger.countQueues', {}),
  };
};
