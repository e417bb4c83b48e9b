import { createError, type RouterError } from '../errors';
import type { RpcClient } from '../rpc';
import type { LedgerCommand, LedgerResult, RequestRecord } from './types';

/** Selects the control host to call. */
export interface ControlHostSelector {
  /** Returns the address of the control host that answered last. */
  readonly controlAddress: () => string;
  /** Switches to the next control host after a failure. */
  readonly chooseNextControl: () => void;
}

/** Writes to the ledger and reads from it through a control host. */
export interface LedgerClient {
  /** Resolves once the command is committed. After an error the command may still be committed. */
  readonly propose: (command: LedgerCommand) => Promise<LedgerResult>;
  readonly find: (organisation: string, requestId: string) => Promise<RequestRecord | undefined>;
  /**
   * Returns the number of sessions with deferred requests on the called host, which may lag behind.
   */
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

/** Creates a client that sends commands in batches, with a limit on concurrent batches. */
export const createLedgerClient = (
  rpc: RpcClient,
  addresses: ControlHostSelector,
): LedgerClient => {
  const pending: PendingCommand[] = [];
  let activeBatchLoops = 0;

  // Every ledger command names its request or key, so a repeated command has no further effect.
  const callWithRetry = async <T>(method: string, params: unknown): Promise<T> => {
    let lastError: RouterError | undefined;
    for (let attempt = 0; attempt < MAX_CALL_ATTEMPTS; attempt += 1) {
      const answer = await rpc.call<T>(addresses.controlAddress(), method, params);
      if (answer.isRight()) return answer.extract();
      lastError = answer.extract() as RouterError;
      addresses.chooseNextControl();
    }
    throw createError({
      type: 'unavailable',
      message: lastError?.message ?? 'no control host answered',
      step: method,
      peer: lastError?.peer ?? '',
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
