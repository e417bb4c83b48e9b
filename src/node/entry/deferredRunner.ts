import { setTimeout as sleep } from 'node:timers/promises';
import { convertToRouterError, createError } from '../errors';
import type { LeaseClient } from '../lease';
import type { LedgerClient, Owner, RequestRecord } from '../ledger';
import type { Logger } from '../log';
import { findTask, parseChatBody } from './chatRequest';
import type { RequestRunner } from './requestRunner';
import { EMPTY_REQUEST_STATE } from './requestState';
import type { RunRequest } from './runTypes';
import type { Settlement } from './settlement';

/** Takes deferred requests from the ledger and runs them. */
export interface DeferredRunner {
  readonly start: () => void;
  /** Polls the ledger for work at once. */
  readonly pollNow: () => void;
  /** Takes no more requests and waits for the running ones. The queue stays in the ledger. */
  readonly stop: () => Promise<void>;
  readonly countActive: () => number;
}

/** Options of a deferred runner. */
export interface DeferredRunnerOptions {
  readonly ledger: Pick<LedgerClient, 'propose' | 'countQueues'>;
  readonly runner: Pick<RequestRunner, 'run'>;
  readonly settlement: Settlement;
  readonly lease: LeaseClient;
  readonly readOwner: () => Owner;
  readonly answerTimeoutMs: number;
  readonly log: Logger;
  readonly readTime?: () => number;
}

const POLL_INTERVAL_MS = 1_000;
const MAX_CONCURRENT_RUNS = 8;
const STOP_POLL_MS = 20;
/** Each take has its own range of numbers: an owner may not know all earlier attempts. */
const ATTEMPT_NUMBERS_PER_TAKE = 100;

const createRunRequest = (
  options: DeferredRunnerOptions,
  record: RequestRecord,
): RunRequest | undefined => {
  const { view } = options.lease;
  const organisation = view.find('organisation', record.organisation);
  if (!organisation) return undefined;
  const { path, headers, body: text } = record.request!;
  const body = Buffer.from(text, 'base64');
  const chat = parseChatBody(body);
  return {
    requestId: record.requestId,
    organisation,
    task: findTask(view, chat.metadata?.task),
    model: chat.model,
    session: headers['x-session-id'],
    key: record.key,
    idempotent: record.idempotent ?? false,
    keepsAnswer: true,
    isBuffered: true,
    isDeferred: true,
    firstAttempt: ((record.takes ?? 1) - 1) * ATTEMPT_NUMBERS_PER_TAKE,
    method: 'POST',
    path,
    headers: { 'content-type': 'application/json' },
    body,
    signal: AbortSignal.timeout(options.answerTimeoutMs),
  };
};

/** Creates the deferred runner of one entry. */
export const createDeferredRunner = (options: DeferredRunnerOptions): DeferredRunner => {
  const { ledger, runner, settlement, lease, readOwner, log, readTime = Date.now } = options;
  const runningIds = new Set<string>();
  let isPolling = false;
  let isStopped = false;
  let timer: NodeJS.Timeout | undefined;

  const settleForRemovedOrganisation = async (record: RequestRecord): Promise<void> => {
    const organisation = { name: record.organisation };
    const request = { ...record, organisation, isDeferred: true } as unknown as RunRequest;
    const message = `organisation '${record.organisation}' is no longer in the inventory`;
    const error = createError({ type: 'not_allowed', message, step: 'entry.deferred' });
    await settlement.settle(request, EMPTY_REQUEST_STATE, { outcome: 'not_run', error });
  };

  const runRecord = async (record: RequestRecord): Promise<void> => {
    const { requestId } = record;
    try {
      const request = createRunRequest(options, record);
      if (!request) return await settleForRemovedOrganisation(record);
      const answer = await runner.run(request);
      await answer.chunks.return(undefined);
      log.info({ requestId, status: answer.status }, 'deferred request completed');
    } catch (cause) {
      const { message, outcome } = convertToRouterError(cause, 'entry.deferred');
      log.warn({ requestId, outcome, reason: message }, 'deferred request did not complete');
    }
    return undefined;
  };

  const handleEnd = (requestId: string): void => {
    runningIds.delete(requestId);
    // The next request of the same session may be waiting for this one.
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- mutually recursive
    pollQueue();
  };

  const acquireWork = async (): Promise<void> => {
    const limit = MAX_CONCURRENT_RUNS - runningIds.size;
    if (limit <= 0 || !lease.isValid()) return;
    if ((await ledger.countQueues()) === 0) return;
    const result = await ledger.propose({
      type: 'take',
      owner: readOwner(),
      holds: [...runningIds, ...settlement.listPending()],
      limit,
      at: readTime(),
    });
    const records = result.type === 'taken' ? result.records : [];
    records.forEach((record) => runningIds.add(record.requestId));
    records.forEach((record) => {
      runRecord(record).finally(() => handleEnd(record.requestId));
    });
  };

  const pollQueue = (): void => {
    if (isPolling || isStopped) return;
    isPolling = true;
    acquireWork()
      .catch(() => {})
      .finally(() => {
        isPolling = false;
      });
  };

  return {
    start: () => {
      timer = setInterval(pollQueue, POLL_INTERVAL_MS);
    },
    pollNow: pollQueue,
    stop: async () => {
      isStopped = true;
      clearInterval(timer);
      while (runningIds.size > 0 || isPolling) await sleep(STOP_POLL_MS);
    },
    countActive: () => runningIds.size,
  };
};
