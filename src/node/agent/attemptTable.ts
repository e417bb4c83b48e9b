import { createError, type RouterError } from '../errors';
import { formatAttemptName, type AttemptName, type AttemptRequest } from '../shared';
import { createAttempt, type Attempt } from './attempt';
import { createAttemptQueue } from './attemptQueue';

/** State that decides whether an agent admits an attempt. */
export interface AdmissionState {
  readonly hasLease: boolean;
  readonly incarnation: number;
  readonly isDraining: boolean;
  readonly isWithdrawn: (model: string, version: string) => boolean;
  /** Returns whether the inventory takes an endpoint out of service. */
  readonly isLeaving?: (endpoint: string) => boolean;
}

/** Limits of an attempt table. */
export interface AttemptTableLimits {
  readonly queueLimit: number;
  /** Bytes of buffered answers, summed over all attempts. */
  readonly bufferBytes: number;
}

/** The attempts of one agent, as a state machine that reads no clock: callers pass the time. */
export interface AttemptTable {
  /** Returns the attempt of that name, or admits it. Throws a refusal with outcome `not_run`. */
  readonly admit: (request: AttemptRequest, state: AdmissionState, nowMs: number) => Attempt;
  readonly find: (name: Omit<AttemptName, 'incarnation'>) => Attempt | undefined;
  /** Prevents an attempt from starting, even one still to arrive. Returns false if it cannot. */
  readonly refuse: (name: Omit<AttemptName, 'incarnation'>, nowMs: number) => boolean;
  /** Removes an attempt that its entry has settled. Its name is kept as closed. */
  readonly confirm: (name: Omit<AttemptName, 'incarnation'>, nowMs: number) => void;
  /** Takes the next attempt that may start from the queue. */
  readonly takeNext: (nowMs: number, running: number, slots: number) => Attempt | undefined;
  /** Removes and returns queued attempts that waited too long for their class or deadline. */
  readonly takeExpired: (nowMs: number) => readonly Attempt[];
  readonly expire: (nowMs: number) => void;
  readonly countQueued: () => number;
  readonly countBytes: () => number;
  readonly countClosedNames: () => number;
}

/** Maximum time that an ended attempt is kept for its entry. */
export const ATTEMPT_RETENTION_MS = 3_600_000;
/** Longer than the network can hold a message of a closed connection. */
export const CLOSED_NAME_RETENTION_MS = 1_200_000;
/** Maximum number of closed names. At this number the agent admits no new attempts. */
export const CLOSED_NAME_LIMIT = 200_000;

const ATTEMPT_BUFFER_DIVISOR = 16;
const MIN_ATTEMPT_BUFFER_BYTES = 65_536;

type RefusalType = 'unavailable' | 'version_withdrawn' | 'overloaded';

/** Creates the refusal of an attempt that has not run. */
export const createRefusal = (message: string, type: RefusalType): RouterError =>
  createError({ type, message, step: 'agent.admit', outcome: 'not_run' });

/** Throws unless an attempt may be admitted or started. */
export const checkAdmission = (request: AttemptRequest, state: AdmissionState): void => {
  if (!state.hasLease) throw createRefusal('the agent holds no lease', 'unavailable');
  if (request.incarnation !== state.incarnation) {
    throw createRefusal(
      `the attempt is for another incarnation: ${request.incarnation}`,
      'unavailable',
    );
  }
  if (state.isLeaving?.(request.endpoint)) {
    throw createRefusal(`endpoint '${request.endpoint}' is leaving service`, 'unavailable');
  }
  const { target } = request;
  if (target.kind === 'model' && state.isWithdrawn(target.model, target.version)) {
    throw createRefusal(`${target.model}@${target.version} is withdrawn`, 'version_withdrawn');
  }
};

/** Name of an attempt that was refused or has ended. A late copy of it is not admitted. */
interface ClosedName {
  readonly at: number;
  readonly neverRuns: boolean;
}

interface StoredAttempt {
  readonly attempt: Attempt;
  readonly at: number;
}

/** Creates an empty table. */
export const createAttemptTable = (limits: AttemptTableLimits): AttemptTable => {
  const attempts = new Map<string, StoredAttempt>();
  const closedNames = new Map<string, ClosedName>();
  const queue = createAttemptQueue();
  const attemptBufferBytes = Math.max(
    limits.bufferBytes / ATTEMPT_BUFFER_DIVISOR,
    MIN_ATTEMPT_BUFFER_BYTES,
  );

  const countBytes = (): number =>
    [...attempts.values()].reduce((sum, { attempt }) => sum + attempt.countBytes(), 0);

  const addClosedName = (name: string, neverRuns: boolean, nowMs: number): boolean => {
    if (closedNames.size >= CLOSED_NAME_LIMIT) return false;
    closedNames.set(name, { at: nowMs, neverRuns });
    return true;
  };

  const removeAttempt = (name: string, attempt: Attempt, nowMs: number): boolean => {
    if (!addClosedName(name, attempt.state() === 'never', nowMs)) return false;
    return attempts.delete(name);
  };

  const isEnded = (attempt: Attempt): boolean =>
    attempt.state() === 'done' || attempt.state() === 'never';

  // Removes ended attempts, oldest first, until the buffer has room.
  const removeOldest = (nowMs: number): void => {
    let bytes = countBytes();
    for (const [name, { attempt }] of attempts) {
      if (bytes < limits.bufferBytes) return;
      if (!isEnded(attempt)) continue;
      if (!removeAttempt(name, attempt, nowMs)) return;
      bytes -= attempt.countBytes();
    }
  };

  const checkCapacity = (name: string, nowMs: number): void => {
    if (closedNames.has(name))
      throw createRefusal('the attempt was refused or has ended', 'unavailable');
    if (queue.count() >= limits.queueLimit)
      throw createRefusal(`the queue is full: the limit is ${limits.queueLimit}`, 'overloaded');
    if (closedNames.size + attempts.size >= CLOSED_NAME_LIMIT) {
      throw createRefusal(
        `too many names of attempts: the limit is ${CLOSED_NAME_LIMIT}`,
        'overloaded',
      );
    }
    if (countBytes() < limits.bufferBytes) return;
    removeOldest(nowMs);
    if (countBytes() >= limits.bufferBytes) {
      throw createRefusal(
        `the buffer is full: the limit is ${limits.bufferBytes} bytes`,
        'overloaded',
      );
    }
  };

  const admit: AttemptTable['admit'] = (request, state, nowMs) => {
    const name = formatAttemptName(request.requestId, request.attempt);
    const known = attempts.get(name);
    if (known?.attempt.request.incarnation === request.incarnation) return known.attempt;
    if (state.isDraining) throw createRefusal('the agent is stopping', 'unavailable');
    checkAdmission(request, state);
    checkCapacity(name, nowMs);
    queue.checkWait(request);
    const attempt = createAttempt(request, attemptBufferBytes);
    attempts.set(name, { attempt, at: nowMs });
    queue.add(attempt, nowMs);
    return attempt;
  };

  const find: AttemptTable['find'] = ({ requestId, attempt }) =>
    attempts.get(formatAttemptName(requestId, attempt))?.attempt;

  const refuse: AttemptTable['refuse'] = (named, nowMs) => {
    const name = formatAttemptName(named.requestId, named.attempt);
    const known = find(named);
    if (!known) return closedNames.get(name)?.neverRuns ?? addClosedName(name, true, nowMs);
    const neverRuns = known.refuse();
    if (neverRuns) queue.remove(known);
    return neverRuns;
  };

  const confirm: AttemptTable['confirm'] = (named, nowMs) => {
    const name = formatAttemptName(named.requestId, named.attempt);
    const known = attempts.get(name);
    if (known && isEnded(known.attempt)) removeAttempt(name, known.attempt, nowMs);
  };

  const expire = (nowMs: number): void => {
    for (const [name, { at }] of closedNames) {
      if (nowMs - at <= CLOSED_NAME_RETENTION_MS) break;
      closedNames.delete(name);
    }
    for (const [name, { attempt, at }] of attempts) {
      if (nowMs - at <= ATTEMPT_RETENTION_MS) break;
      if (isEnded(attempt)) removeAttempt(name, attempt, nowMs);
    }
  };

  return {
    admit,
    find,
    refuse,
    confirm,
    takeNext: queue.takeNext,
    takeExpired: queue.takeExpired,
    expire,
    countQueued: queue.count,
    countBytes,
    countClosedNames: () => closedNames.size,
  };
};
