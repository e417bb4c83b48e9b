import { performance } from 'node:perf_hooks';
import {
  convertToRouterError,
  createError,
  type ErrorType,
  type Outcome,
  type RouterError,
} from '../errors';
import type { LeaseClient } from '../lease';
import type { Owner, StoredAnswer } from '../ledger';
import type { AttemptName, AttemptRequest, TokenCounts } from '../shared';
import type { AnswerFrame, AttemptClient } from './attemptClient';
import type { AttemptPolicy } from './attemptPolicy';
import {
  addTracked,
  computeOutcome,
  EMPTY_REQUEST_STATE,
  listUnresolved,
  updateTracked,
  type AttemptPhase,
  type RequestState,
  type TrackedAttempt,
} from './requestState';
import type { RunRequest, BufferedAnswer } from './runTypes';
import type { Sleep } from './sleep';
import { MAX_STORED_ANSWER_BYTES, type Settlement } from './settlement';
import type { Choice, TargetChooser } from './targetChoice';

/** Dependencies and limits of a request runner. */
export interface RunnerContext {
  readonly client: AttemptClient;
  readonly lease: Pick<LeaseClient, 'incarnation' | 'isValid' | 'view'>;
  readonly settlement: Settlement;
  readonly chooser: TargetChooser;
  readonly policy: AttemptPolicy;
  readonly readOwner: () => Owner;
  readonly wait: Sleep;
  readonly answerTimeoutMs: number;
  /** Maximum bytes of one answer. A larger answer fails as `too_large`. */
  readonly streamBytes: number;
  /** Maximum number of concurrent requests. */
  readonly inFlight: number;
}

/** A request in progress, with the state of its attempts. */
export interface Run {
  readonly request: RunRequest;
  state: RequestState;
  nextAttempt: number;
}

/** An attempt whose head has been received. */
export interface OpenAttempt {
  readonly tracked: TrackedAttempt;
  readonly head: Extract<AnswerFrame, { readonly type: 'head' }>;
  readonly frames: AsyncGenerator<AnswerFrame>;
  /** Absent for an attempt that another entry started. */
  readonly origin?: AttemptOrigin;
  readonly release: () => void;
}

/** How this entry started an attempt. */
export interface AttemptOrigin {
  readonly choice: Choice;
  /** Time of the start, in milliseconds of the monotonic clock. */
  readonly startedAt: number;
  /** Whether the answer is buffered and rated. */
  readonly isRated: boolean;
}

/** Creates a run without attempts. */
export const createRun = (request: RunRequest): Run => ({
  request,
  state: EMPTY_REQUEST_STATE,
  nextAttempt: request.firstAttempt,
});

const createAttemptName = (run: Run, { attempt, incarnation }: TrackedAttempt): AttemptName => ({
  requestId: run.request.requestId,
  attempt,
  incarnation,
});

const PHASE_BY_OUTCOME: Readonly<Record<Outcome, AttemptPhase>> = {
  not_run: 'never',
  ran: 'ran',
  unknown: 'unknown',
};

/** Records the outcome of a failed attempt in its run. */
export const recordFailure = (
  context: RunnerContext,
  run: Run,
  tracked: TrackedAttempt,
  error: RouterError,
): void => {
  const counts = error.data as TokenCounts | undefined;
  const usage = counts && context.settlement.computeUsage(tracked, counts);
  const phase = PHASE_BY_OUTCOME[error.outcome];
  run.state = updateTracked(run.state, tracked.attempt, { phase, usage });
};

/** Turns attempts that may still run into tombstones, or cancels them and counts their usage. */
export const closeUnresolved = async (context: RunnerContext, run: Run): Promise<void> => {
  const closeAttempt = async (tracked: TrackedAttempt): Promise<void> => {
    const end = await context.client.cancel(tracked.address, createAttemptName(run, tracked));
    const usage = end.counts && context.settlement.computeUsage(tracked, end.counts);
    run.state = updateTracked(run.state, tracked.attempt, { phase: end.state, usage });
  };
  await Promise.all(listUnresolved(run.state).map(closeAttempt));
};

const confirmAll = (context: RunnerContext, run: Run): void => {
  run.state.attempts
    .filter((item) => item.phase !== 'unknown')
    .forEach((item) => context.client.confirm(item.address, createAttemptName(run, item)));
};

/** Formats an answer for the ledger. Undefined if it need not or cannot be stored. */
export const formatStoredAnswer = (
  request: RunRequest,
  answer: BufferedAnswer,
): StoredAnswer | undefined => {
  if (!request.keepsAnswer || answer.body.length > MAX_STORED_ANSWER_BYTES) return undefined;
  const { status, contentType, headers, model, version, body } = answer;
  return { status, contentType, headers, model, version, body: body.toString('base64') };
};

const ANSWER_TOO_LARGE = {
  type: 'too_large',
  message: 'the answer is too large to be stored',
  step: 'entry.settle',
} as const;

/** Settles a request that has an answer. */
export const settleAnswer = async (
  context: RunnerContext,
  run: Run,
  buffered: BufferedAnswer,
): Promise<void> => {
  await closeUnresolved(context, run);
  const answer = formatStoredAnswer(run.request, buffered);
  const error = run.request.isDeferred && !answer ? ANSWER_TOO_LARGE : undefined;
  const end = { outcome: 'ran', answer, error } as const;
  const settled = await context.settlement.settle(run.request, run.state, end);
  if (settled !== undefined) confirmAll(context, run);
};

/** Settles a request without an answer. Returns its error with the settled outcome. */
export const settleFailure = async (
  context: RunnerContext,
  run: Run,
  cause: unknown,
): Promise<RouterError> => {
  const error = convertToRouterError(cause, 'entry.run');
  await closeUnresolved(context, run);
  const local = computeOutcome(run.state);
  const { type, message, step, peer, retryAfterSeconds } = error;
  const { settlement } = context;
  const end = { outcome: local, error: { type, message, step } };
  const settled = run.request.isDeferred
    ? await settlement.releaseOrSettle(run.request, run.state, end)
    : await settlement.settle(run.request, run.state, end);
  if (settled !== undefined) confirmAll(context, run);
  return createError({ type, message, step, peer, retryAfterSeconds, outcome: settled ?? local });
};

const ERROR_TYPE_BY_ABORT_REASON: Readonly<Record<string, ErrorType>> = { TimeoutError: 'timeout' };

/** Returns the error of an aborted request, or the cause if the request was not aborted. */
export const resolveAbortError = (request: RunRequest, cause: unknown): RouterError => {
  const error = convertToRouterError(cause, 'entry.run');
  if (!request.signal.aborted) return error;
  const reason = (request.signal.reason as Error | undefined)?.name ?? '';
  const type = ERROR_TYPE_BY_ABORT_REASON[reason] ?? 'cancelled';
  const { outcome, peer, data } = error;
  const message =
    type === 'timeout' ? 'the answer took too long' : 'the caller closed the connection';
  return createError({ type, message, step: 'entry.run', peer, outcome, data });
};

const createAttemptRequest = (
  context: RunnerContext,
  request: RunRequest,
  choice: Choice,
  attempt: number,
): AttemptRequest => ({
  requestId: request.requestId,
  attempt,
  organisation: request.organisation.name,
  incarnation: choice.member.incarnation,
  entry: context.readOwner(),
  endpoint: choice.member.endpoint,
  target:
    request.service === undefined
      ? { kind: 'model', model: choice.model, version: choice.version }
      : { kind: 'service', service: request.service },
  class: request.task.class,
  weight: request.organisation.weight,
  deadlineMs: request.task.deadlineMs ?? context.answerTimeoutMs,
  method: request.method,
  path: request.path,
  headers: request.headers,
  body: request.body.toString('base64'),
});

const recordAttempt = (run: Run, choice: Choice): TrackedAttempt => {
  const { address, node: agent, incarnation } = choice.member;
  const attempt = run.nextAttempt;
  const { model, version } = choice;
  run.nextAttempt += 1;
  run.state = addTracked(run.state, { attempt, address, agent, incarnation, model, version });
  return run.state.attempts.at(-1)!;
};

const checkHead = (frame: AnswerFrame | undefined, peer: string): OpenAttempt['head'] => {
  if (frame?.type === 'head') return frame;
  const message = 'the first frame of the answer is not its head';
  const outcome = 'unknown';
  throw createError({ type: 'peer_failed', message, step: 'entry.dispatch', peer, outcome });
};

const checkLease = (context: RunnerContext): void => {
  if (context.lease.isValid()) return;
  const message = 'this entry holds no lease';
  throw createError({ type: 'unavailable', message, step: 'entry.dispatch', retryAfterSeconds: 1 });
};

// The caller gets no byte before the intent is recorded. A call that is not idempotent is not even
// sent to the agent before that.
const sendAttempt = async (
  context: RunnerContext,
  run: Run,
  choice: Choice,
  tracked: TrackedAttempt,
): Promise<Pick<OpenAttempt, 'tracked' | 'head' | 'frames'>> => {
  const { request } = run;
  const { address } = tracked;
  checkLease(context);
  const intent = context.settlement.recordIntent(request, tracked);
  if (!request.idempotent) {
    await intent;
    // The lease may have expired while the intent was being recorded.
    checkLease(context);
  }
  const message = createAttemptRequest(context, request, choice, tracked.attempt);
  const frames = context.client.open(address, message, request.signal);
  const [first, recorded] = await Promise.allSettled([frames.next(), intent]);
  if (first.status === 'rejected') throw first.reason;
  if (recorded.status === 'rejected') {
    const error = convertToRouterError(recorded.reason, 'entry.intent');
    throw createError({ ...error, message: error.message, outcome: 'unknown' });
  }
  return {
    tracked,
    head: checkHead(first.value.value as AnswerFrame | undefined, address),
    frames,
  };
};

/** Starts one attempt and returns it with its head. A failure is recorded in the run. */
export const startAttempt = async (
  context: RunnerContext,
  run: Run,
  choice: Choice,
): Promise<OpenAttempt> => {
  const { endpoint, address } = choice.member;
  const tracked = recordAttempt(run, choice);
  context.chooser.log(run.request, choice, tracked.attempt);
  const isUrgent = run.request.task.class === 'urgent';
  context.chooser.updateLoad(endpoint, 1, isUrgent);
  let isReleased = false;
  const release = (): void => {
    if (!isReleased) context.chooser.updateLoad(endpoint, -1, isUrgent);
    isReleased = true;
  };
  const startedAt = performance.now();
  try {
    const sent = await sendAttempt(context, run, choice, tracked);
    const isRated = context.policy.isRated(run.request, choice);
    return { ...sent, origin: { choice, startedAt, isRated }, release };
  } catch (cause) {
    release();
    const error = convertToRouterError(cause, 'entry.dispatch', address, 'unknown');
    context.policy.recordFailure(run.request, choice, error);
    recordFailure(context, run, tracked, error);
    throw error;
  }
};
