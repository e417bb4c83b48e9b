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

/** An earlier request that holds an idempotency key. */
export interface KeyHolder {
  readonly record: RequestRecord;
  readonly isOwnerGone: boolean;
}

/** Ledger operations for the requests of one entry. */
export interface Settlement {
  /** Binds a session to a version unless it is already bound. Returns the binding in force. */
  readonly bindSession: (request: RunRequest, wanted: Binding) => Promise<Binding>;
  /** Claims the key of a request. Returns the earlier request that holds it, if there is one. */
  readonly claim: (request: RunRequest) => Promise<KeyHolder | undefined>;
  /** Records durably that an attempt may run. Throws `not_run` if the ledger refuses. */
  readonly recordIntent: (request: RunRequest, attempt: TrackedAttempt) => Promise<void>;
  /** Settles a request. Retries in the background if the ledger does not answer. */
  readonly settle: (
    request: RunRequest,
    state: RequestState,
    end: RequestEnd,
  ) => Promise<Outcome | undefined>;
  /** Puts a deferred request back into its queue if it may run later, or settles it. */
  readonly releaseOrSettle: (
    request: RunRequest,
    state: RequestState,
    end: RequestEnd,
  ) => Promise<Outcome | undefined>;
  readonly takeOver: (request: RunRequest, record: RequestRecord) => Promise<boolean>;
  readonly find: (request: RunRequest, requestId: string) => Promise<RequestRecord | undefined>;
  readonly computeUsage: (attempt: TrackedAttempt, counts: TokenCounts) => Usage;
  /** Lists the requests whose settlement the ledger has not recorded yet. */
  readonly listPending: () => readonly string[];
}

/** Options of a settlement. */
export interface SettlementOptions {
  readonly ledger: Pick<LedgerClient, 'propose' | 'find'>;
  readonly view: View;
  readonly readOwner: () => Owner;
  readonly log: Logger;
  readonly readTime?: () => number;
  readonly wait?: Sleep;
}

/** Maximum bytes of a stored answer. */
export const MAX_STORED_ANSWER_BYTES = 1_048_576;

const SETTLE_RETRY_MS = 1_000;
const MAX_SETTLE_RETRIES = 600;
const RELEASE_DELAY_MS = 5_000;

/** Computes a hash to compare two requests with the same idempotency key. */
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
    throw createKeyError(
      'the idempotency key was already used with another request body',
      'not_run',
    );
  }
  if (result.type === 'keyExpired') {
    throw createKeyError('the idempotency key is older than its retention period', 'unknown');
  }
  const message = result.type === 'refused' ? result.reason : 'the ledger did not claim the key';
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
      log.warn(
        { requestId: request.requestId },
        'the ledger did not record the settlement; retrying in the background',
      );
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
