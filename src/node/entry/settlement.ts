import { createHash } from 'node:crypto';
import { createError, type Outcome, type RouterError } from '../errors';
import {
  computeUsage,
  type LedgerClient,
  type LedgerCommand,
  type LedgerResult,
  type Owner,
  type RequestRecord,
  type StoredAnswer,
  type StoredError,
  type Usage,
} from '../ledger';
import type { Logger } from '../log';
import type { TokenCounts } from '../shared';
import type { View } from '../view';
import { sleep, type Sleep } from './sleep';
import { createSessionBinder } from './sessionBinder';
import {
  EMPTY_REQUEST_STATE,
  listReports,
  type RequestState,
  type TrackedAttempt,
} from './requestState';
import type { RunRequest } from './runTypes';
import type { Binding } from './targetChoice';

/** How a request ended. */
export interface RequestEnd {
  readonly outcome: Outcome;
  readonly answer?: StoredAnswer;
  readonly error?: StoredError;
}

/** What stands in the way of a key. */
export interface KeyHolder {
  readonly record: RequestRecord;
  readonly isOwnerGone: boolean;
}

/** The ledger as one entry's requests use it. */
export interface Settlement {
  /** Binds a session to a version unless it is bound, and gives the binding. */
  readonly bindSession: (request: RunRequest, wanted: Binding) => Promise<Binding>;
  /** Claims the request's key; gives the earlier request that holds it. */
  readonly claim: (request: RunRequest) => Promise<KeyHolder | undefined>;
  /** Records durably that an attempt may run; throws a refusal that is `not_run`. */
  readonly recordIntent: (request: RunRequest, attempt: TrackedAttempt) => Promise<void>;
  /** Settles a request; keeps trying in the background when the ledger does not answer. */
  readonly settle: (
    request: RunRequest,
    state: RequestState,
    end: RequestEnd,
  ) => Promise<Outcome | undefined>;
  /** Puts a deferred request back into its queue when it may run later, else settles it. */
  readonly releaseOrSettle: (
    request: RunRequest,
    state: RequestState,
    end: RequestEnd,
  ) => Promise<Outcome | undefined>;
  readonly takeOver: (request: RunRequest, record: RequestRecord) => Promise<boolean>;
  readonly find: (request: RunRequest, requestId: string) => Promise<RequestRecord | undefined>;
  readonly computeUsage: (attempt: TrackedAttempt, counts: TokenCounts) => Usage;
  /** Requests whose end the ledger has not taken yet. */
  readonly listPending: () => readonly string[];
}

/** What a settlement needs. */
export interface SettlementOptions {
  readonly ledger: Pick<LedgerClient, 'propose' | 'find'>;
  readonly view: View;
  readonly readOwner: () => Owner;
  readonly log: Logger;
  readonly readTime?: () => number;
  readonly wait?: Sleep;
}

/** A stored answer may have this many bytes. */
export const MAX_STORED_ANSWER_BYTES = 1_048_576;

const SETTLE_RETRY_MS = 1_000;
const MAX_SETTLE_RETRIES = 600;
const RELEASE_DELAY_MS = 5_000;

/** Computes the hash that tells whether two requests with one key are the same. */
export const computeBodyHash = (request: Pick<RunRequest, 'method' | 'path' | 'body'>): string =>
  createHash('sha256')
    .update(`${request.method} ${request.path}\n`)
    .update(request.body)
    .digest('hex');

const createKeyError = (message: string, outcome: Outcome): RouterError =>
  createError({ type: 'conflict', message, step: 'entry.claim', outcome });

const handleClaimResult = (result: LedgerResult): KeyHolder | undefined => {
  if (result.type === 'claimed') return undefined;
  if (result.type === 'known') return result;
  if (result.type === 'keyConflict') {
    throw createKeyError('the idempotency key was used with another body', 'not_run');
  }
  if (result.type === 'keyExpired') {
    throw createKeyError('the idempotency key is older than its retention', 'unknown');
  }
  const message = result.type === 'refused' ? result.reason : 'the key was not claimed';
  throw createError({ type: 'unavailable', message, step: 'entry.claim', retryAfterSeconds: 1 });
};

const OUTCOME_BY_STATE: Readonly<Record<RequestRecord['state'], Outcome>> = {
  queued: 'unknown',
  running: 'unknown',
  done: 'ran',
  failed: 'ran',
  unknown: 'unknown',
  not_run: 'not_run',
};

const RETRYABLE_TYPES: ReadonlySet<string> = new Set([
  'unavailable',
  'overloaded',
  'over_cap',
  'peer_failed',
  'timeout',
]);

const createRetryingProposer = ({ ledger, log, wait = sleep }: SettlementOptions) => {
  const pending = new Map<string, number>();

  const updatePending = (requestId: string, change: 1 | -1): void => {
    const count = (pending.get(requestId) ?? 0) + change;
    if (count > 0) pending.set(requestId, count);
    else pending.delete(requestId);
  };

  const proposeEnd = async (command: LedgerCommand, outcome: Outcome): Promise<Outcome> => {
    const result = await ledger.propose(command);
    return result.type === 'settled' ? OUTCOME_BY_STATE[result.state] : outcome;
  };

  const retryLater = async (command: LedgerCommand): Promise<void> => {
    for (let tries = 0; tries < MAX_SETTLE_RETRIES; tries += 1) {
      await wait(SETTLE_RETRY_MS);
      const isDone = await ledger.propose(command).then(
        () => true,
        () => false,
      );
      if (isDone) break;
    }
  };

  const proposeOrRetry = async (
    request: RunRequest,
    command: LedgerCommand,
    outcome: Outcome,
  ): Promise<Outcome | undefined> => {
    try {
      return await proposeEnd(command, outcome);
    } catch {
      log.warn({ requestId: request.requestId }, 'settlement waits for the ledger');
      updatePending(request.requestId, 1);
      retryLater(command).finally(() => updatePending(request.requestId, -1));
      return undefined;
    }
  };

  return { proposeOrRetry, listPending: () => [...pending.keys()] };
};

/** Creates the settlement of one entry. */
export const createSettlement = (options: SettlementOptions): Settlement => {
  const { ledger, view, readOwner, readTime = Date.now } = options;
  const claim: Settlement['claim'] = async (request) => {
    if (request.key === undefined || request.isDeferred) return undefined;
    const result = await ledger.propose({
      type: 'claim',
      organisation: request.organisation.name,
      key: request.key,
      bodyHash: computeBodyHash(request),
      requestId: request.requestId,
      owner: readOwner(),
      at: readTime(),
    });
    return handleClaimResult(result);
  };

  const recordIntent: Settlement['recordIntent'] = async (request, tracked) => {
    const { attempt, agent, incarnation, model, version } = tracked;
    const result = await ledger.propose({
      type: 'intent',
      organisation: request.organisation.name,
      requestId: request.requestId,
      attempt,
      agent,
      incarnation,
      model,
      version,
      owner: readOwner(),
      at: readTime(),
    });
    if (result.type !== 'refused') return;
    const message = result.reason;
    throw createError({ type: 'unavailable', message, step: 'entry.intent', outcome: 'not_run' });
  };

  const { proposeOrRetry, listPending } = createRetryingProposer(options);

  const settle: Settlement['settle'] = async (request, state, end) => {
    const hasNothingToSettle =
      state === EMPTY_REQUEST_STATE && request.key === undefined && !request.isDeferred;
    if (hasNothingToSettle) return end.outcome;
    const command: LedgerCommand = {
      type: 'settle',
      organisation: request.organisation.name,
      requestId: request.requestId,
      owner: readOwner(),
      reports: listReports(state),
      ...end,
      at: readTime(),
    };
    return proposeOrRetry(request, command, end.outcome);
  };

  const releaseOrSettle: Settlement['releaseOrSettle'] = async (request, state, end) => {
    if (!RETRYABLE_TYPES.has(end.error?.type ?? '')) return settle(request, state, end);
    const now = readTime();
    const command: LedgerCommand = {
      type: 'release',
      organisation: request.organisation.name,
      requestId: request.requestId,
      owner: readOwner(),
      reports: listReports(state),
      notBefore: now + RELEASE_DELAY_MS,
      at: now,
    };
    return proposeOrRetry(request, command, end.outcome);
  };

  return {
    bindSession: createSessionBinder(ledger, readTime),
    claim,
    recordIntent,
    settle,
    releaseOrSettle,
    takeOver: async (request, record) => {
      const result = await ledger.propose({
        type: 'takeOver',
        organisation: request.organisation.name,
        requestId: record.requestId,
        owner: readOwner(),
        at: readTime(),
      });
      return result.type === 'taken' && result.records.length > 0;
    },
    find: (request, requestId) => ledger.find(request.organisation.name, requestId),
    computeUsage: ({ model, version }, counts) =>
      computeUsage(view.find('model', model), { model, version, ...counts }),
    listPending,
  };
};
