import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Pool } from 'undici';
import { convertToRouterError, type Outcome, type RouterError } from '../errors';
import type { Logger } from '../log';
import type { LeaseClient } from '../lease';
import type {
  AttemptConfirmation,
  AttemptEnd,
  AttemptName,
  AttemptRequest,
  TokenCounts,
} from '../shared';
import { isEndpointLeaving, isVersionWithdrawn } from '../view';
import type { Attempt } from './attempt';
import {
  checkAdmission,
  createAttemptTable,
  createRefusal,
  type AdmissionState,
} from './attemptTable';
import { callEngine, type EngineCall } from './engineCall';
import { createEnginePool } from './enginePool';
import type { AnnouncementStore } from './announcements';
import type { UsageReporter } from './usageReporter';

/** Admits, queues and runs attempts, and keeps their answers. */
export interface AttemptStore {
  readonly admit: (request: AttemptRequest) => Attempt;
  /** Finds an attempt by its name and the agent's incarnation. */
  readonly find: (name: AttemptName) => Attempt | undefined;
  /** Prevents an attempt from starting, even one that has not arrived yet. */
  readonly refuse: (name: AttemptName) => AttemptEnd;
  /** Refuses an attempt or aborts its engine call, and returns what has run. */
  readonly cancel: (name: AttemptName) => Promise<AttemptEnd>;
  readonly confirm: (item: AttemptConfirmation) => void;
  readonly countActive: () => number;
  readonly countQueued: () => number;
  readonly drain: () => Promise<void>;
}

/** Options of an attempt store. */
export interface AttemptStoreOptions {
  readonly lease: LeaseClient;
  readonly announcements: AnnouncementStore;
  readonly queueLimit: number;
  readonly bufferBytes: number;
  readonly reporter: Pick<UsageReporter, 'add'>;
  readonly log: Logger;
  /** Replaces the engine call in tests. */
  readonly call?: EngineCall;
}

const DRAIN_POLL_MS = 20;
const EXPIRE_INTERVAL_MS = 30_000;
const QUEUE_EXPIRE_INTERVAL_MS = 100;
const CANCEL_TIMEOUT_MS = 1_000;
const UNKNOWN_END: AttemptEnd = { type: 'ended', state: 'unknown' };
const NEVER_END: AttemptEnd = { type: 'ended', state: 'never' };

const CONNECT_FAILURES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

const isConnectFailure = (cause: unknown): boolean =>
  CONNECT_FAILURES.has((cause as { readonly code?: string }).code ?? '');

const acquirePool = (pools: Map<string, Pool>, address: string): Pool => {
  const known = pools.get(address);
  if (known) return known;
  const pool = createEnginePool(address);
  pools.set(address, pool);
  return pool;
};

/** Creates the store of one agent. */
export const createAttemptStore = (options: AttemptStoreOptions): AttemptStore => {
  const { announcements, lease, log, reporter, call = callEngine } = options;
  const { queueLimit, bufferBytes } = options;
  const table = createAttemptTable({ queueLimit, bufferBytes });
  const pools = new Map<string, Pool>();
  let running = 0;
  let isDraining = false;

  const readAdmissionState = (): AdmissionState => ({
    hasLease: lease.isValid(),
    incarnation: lease.incarnation(),
    isDraining,
    isWithdrawn: (model, version) => isVersionWithdrawn(lease.view, model, version),
    isLeaving: (endpoint) => isEndpointLeaving(lease.view, endpoint),
  });

  const refuseStart = (attempt: Attempt, error: RouterError): void => {
    const { type, message, step } = error;
    attempt.refuse();
    attempt.append({ type: 'failed', error: { type, message, step, outcome: 'not_run' } });
    reporter.add(attempt.request, 'never', undefined);
  };

  const settleFailure = (attempt: Attempt, cause: unknown, counts: TokenCounts): void => {
    const { requestId, endpoint } = attempt.request;
    const error = convertToRouterError(cause, 'agent.engine', endpoint, 'ran');
    const isCancelled = attempt.abort.signal.aborted;
    const neverRan = !isCancelled && isConnectFailure(cause);
    const outcome: Outcome = neverRan || error.outcome === 'not_run' ? 'not_run' : 'ran';
    if (outcome === 'not_run') attempt.cancelStart();
    const type = isCancelled ? 'cancelled' : 'peer_failed';
    const { message, step } = error;
    const failure = { type: error.type === 'internal' ? type : error.type, message, step, outcome };
    const ran = outcome === 'ran' ? counts : undefined;
    attempt.append({ type: 'failed', error: failure, ...(ran ? { counts: ran } : {}) });
    reporter.add(attempt.request, outcome === 'ran' ? 'ran' : 'never', ran);
    log.warn({ requestId, endpoint, reason: message }, 'attempt failed');
  };

  const runAttempt = async (attempt: Attempt): Promise<void> => {
    const { endpoint } = attempt.request;
    const announced = announcements.find(endpoint);
    try {
      if (!announced) throw createRefusal(`endpoint '${endpoint}' is not announced`, 'unavailable');
      checkAdmission(attempt.request, readAdmissionState());
    } catch (cause) {
      refuseStart(attempt, convertToRouterError(cause, 'agent.start', endpoint));
      return;
    }
    if (!attempt.start()) return;
    const counts = { inputTokens: 0, outputTokens: 0 };
    try {
      await call({ pool: acquirePool(pools, announced.address), counts }, attempt);
      reporter.add(attempt.request, 'ran', counts);
    } catch (cause) {
      settleFailure(attempt, cause, counts);
    }
  };

  const handleEnd = (): void => {
    running -= 1;
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- mutually recursive
    advanceQueue();
  };

  const refuseExpired = (): void => {
    const error = createRefusal('the attempt waited too long in the queue', 'overloaded');
    table.takeExpired(performance.now()).forEach((attempt) => refuseStart(attempt, error));
  };

  const advanceQueue = (): void => {
    refuseExpired();
    const slots = announcements.countSlots();
    while (running < slots) {
      const attempt = table.takeNext(performance.now(), running, slots);
      if (!attempt) return;
      running += 1;
      runAttempt(attempt).finally(handleEnd);
    }
  };

  const admit = (request: AttemptRequest): Attempt => {
    const attempt = table.admit(request, readAdmissionState(), performance.now());
    advanceQueue();
    return attempt;
  };

  const find: AttemptStore['find'] = (name) => {
    const known = table.find(name);
    return known?.request.incarnation === name.incarnation ? known : undefined;
  };

  const refuse: AttemptStore['refuse'] = (name) => {
    const isOtherIncarnation = !find(name) && name.incarnation !== lease.incarnation();
    if (isOtherIncarnation) return UNKNOWN_END;
    return table.refuse(name, performance.now()) ? NEVER_END : UNKNOWN_END;
  };

  const cancel: AttemptStore['cancel'] = async (name) => {
    const refused = refuse(name);
    const known = find(name);
    if (refused.state === 'never' || !known) return refused;
    known.abort.abort();
    const counts = await Promise.race([known.waitForEnd(), sleep(CANCEL_TIMEOUT_MS, undefined)]);
    if (known.state() === 'never') return NEVER_END;
    return { type: 'ended', state: 'ran', ...(counts ? { counts } : {}) };
  };

  const tableTimer = setInterval(() => table.expire(performance.now()), EXPIRE_INTERVAL_MS);
  tableTimer.unref();
  const queueTimer = setInterval(refuseExpired, QUEUE_EXPIRE_INTERVAL_MS);
  queueTimer.unref();

  return {
    admit,
    find,
    refuse,
    cancel,
    confirm: (item) => {
      if (item.upTo === undefined) {
        if (find(item)) table.confirm(item, performance.now());
      } else find(item)?.confirm(item.upTo);
    },
    countActive: () => running + table.countQueued(),
    countQueued: table.countQueued,
    drain: async () => {
      isDraining = true;
      clearInterval(tableTimer);
      clearInterval(queueTimer);
      while (running + table.countQueued() > 0) await sleep(DRAIN_POLL_MS);
      await Promise.all([...pools.values()].map((pool) => pool.close()));
    },
  };
};
