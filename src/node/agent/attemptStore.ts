import { Pool } from 'undici';
import { convertToRouterError, createError } from '../errors';
import type { Logger } from '../log';
import type { LeaseClient } from '../lease';
import { formatAttemptName, type AttemptRequest } from '../shared';
import { isVersionWithdrawn } from '../view';
import { createAttempt, type Attempt } from './attempt';
import { callEngine } from './engineCall';
import type { AnnouncementStore } from './announcements';

/** Admits, queues, runs and keeps attempts. */
export interface AttemptStore {
  readonly admit: (request: AttemptRequest) => Attempt;
  readonly find: (requestId: string, attempt: number) => Attempt | undefined;
  /** Makes sure that an attempt never starts, also one that has not arrived yet. */
  readonly refuse: (requestId: string, attempt: number) => boolean;
  readonly cancel: (requestId: string, attempt: number) => void;
  readonly confirm: (requestId: string, attempt: number) => void;
  readonly countQueued: () => number;
  readonly countRunning: () => number;
  readonly drain: () => Promise<void>;
}

/** What the attempt store needs. */
export interface AttemptStoreOptions {
  readonly lease: LeaseClient;
  readonly announcements: AnnouncementStore;
  readonly queueLimit: number;
  readonly log: Logger;
  /** Takes note of how an attempt ended. */
  readonly recordOutcome: (outcome: AttemptOutcome) => void;
}

/** How an attempt ended; a refused one has not run. */
export type AttemptOutcome = 'done' | 'failed' | 'cancelled' | 'refused';

const DRAIN_POLL_MS = 20;

const createRefusal = (message: string, type: 'unavailable' | 'version_withdrawn' | 'overloaded') =>
  createError({ type, message, step: 'agent.admit', outcome: 'not_run' });

const checkAdmission = (options: AttemptStoreOptions, request: AttemptRequest): void => {
  const { lease } = options;
  if (!lease.isValid()) throw createRefusal('the agent holds no lease', 'unavailable');
  if (request.incarnation !== lease.incarnation()) {
    throw createRefusal('the agent has another incarnation', 'unavailable');
  }
  const { target } = request;
  if (target.kind === 'model' && isVersionWithdrawn(lease.view, target.model, target.version)) {
    throw createRefusal(`${target.model}@${target.version} is withdrawn`, 'version_withdrawn');
  }
};

/** Creates the store of one agent. */
export const createAttemptStore = (options: AttemptStoreOptions): AttemptStore => {
  const { announcements, log, queueLimit, recordOutcome } = options;
  const attempts = new Map<string, Attempt>();
  const tombstones = new Set<string>();
  const queue: Attempt[] = [];
  const pools = new Map<string, Pool>();
  let running = 0;
  let isDraining = false;

  const acquirePool = (address: string): Pool => {
    const known = pools.get(address);
    if (known) return known;
    const pool = new Pool(`http://${address}`, { connections: 256 });
    pools.set(address, pool);
    return pool;
  };

  const runAttempt = async (attempt: Attempt): Promise<void> => {
    const { requestId, endpoint } = attempt.request;
    const announced = announcements.find(endpoint);
    try {
      if (!announced) throw createRefusal('the endpoint is gone', 'unavailable');
      checkAdmission(options, attempt.request);
    } catch (cause) {
      const { type, message, step } = convertToRouterError(cause, 'agent.start', endpoint);
      attempt.append({ type: 'failed', error: { type, message, step, outcome: 'not_run' } });
      attempt.refuse();
      recordOutcome('refused');
      return;
    }
    if (!attempt.start()) return;
    try {
      await callEngine({ pool: acquirePool(announced.address) }, attempt);
      recordOutcome('done');
    } catch (cause) {
      const error = convertToRouterError(cause, 'agent.engine', endpoint, 'unknown');
      const type = attempt.abort.signal.aborted ? 'cancelled' : 'peer_failed';
      recordOutcome(type === 'cancelled' ? 'cancelled' : 'failed');
      const { message, step } = error;
      attempt.append({ type: 'failed', error: { type, message, step, outcome: 'ran' } });
      log.warn({ requestId, endpoint, reason: message }, 'attempt failed');
    }
  };

  const countSlots = (): number => announcements.countSlots();

  const handleEnd = (): void => {
    running -= 1;
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- the two call each other
    advanceQueue();
  };

  const advanceQueue = (): void => {
    while (running < countSlots() && queue.length > 0) {
      const attempt = queue.shift()!;
      running += 1;
      runAttempt(attempt).finally(handleEnd);
    }
  };

  const admit = (request: AttemptRequest): Attempt => {
    const name = formatAttemptName(request.requestId, request.attempt);
    const known = attempts.get(name);
    if (known) return known;
    if (tombstones.has(name)) throw createRefusal('the attempt was refused before', 'unavailable');
    if (isDraining) throw createRefusal('the agent is stopping', 'unavailable');
    checkAdmission(options, request);
    if (queue.length >= queueLimit) throw createRefusal('the queue is full', 'overloaded');
    const attempt = createAttempt(request);
    attempts.set(name, attempt);
    queue.push(attempt);
    advanceQueue();
    return attempt;
  };

  const find: AttemptStore['find'] = (requestId, attempt) =>
    attempts.get(formatAttemptName(requestId, attempt));

  return {
    admit,
    find,
    refuse: (requestId, attempt) => {
      const known = find(requestId, attempt);
      if (known) return known.refuse();
      tombstones.add(formatAttemptName(requestId, attempt));
      return true;
    },
    cancel: (requestId, attempt) => find(requestId, attempt)?.abort.abort(),
    confirm: (requestId, attempt) => {
      attempts.delete(formatAttemptName(requestId, attempt));
    },
    countQueued: () => queue.length,
    countRunning: () => running,
    drain: async () => {
      isDraining = true;
      while (running + queue.length > 0) {
        await new Promise((resolve) => {
          setTimeout(resolve, DRAIN_POLL_MS);
        });
      }
      await Promise.all([...pools.values()].map((pool) => pool.close()));
    },
  };
};
