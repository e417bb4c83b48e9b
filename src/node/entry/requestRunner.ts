import { randomUUID } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import { convertToRouterError, createError, type RouterError } from '../errors';
import { createStreamedAnswer, convertToRunAnswer, readFullAnswer } from './answerRelay';
import { claimOrAnswer } from './idempotencyKey';
import { canRepeat, listUnresolved } from './requestState';
import {
  closeUnresolved,
  createRun,
  resolveAbortError,
  settleAnswer,
  settleFailure,
  startAttempt,
  type OpenAttempt,
  type Run,
  type RunnerContext,
} from './runContext';
import type { RunAnswer, RunRequest, BufferedAnswer } from './runTypes';
import type { Binding, Choice } from './targetChoice';

/** Runs requests, from the claim of the key and the attempts to the settlement. */
export interface RequestRunner {
  readonly run: (request: RunRequest) => Promise<RunAnswer>;
  readonly createRequestId: () => string;
  readonly countActive: () => number;
}

const MAX_ATTEMPTS_PER_REQUEST = 3;

// Errors caused by the caller, which would be the same on every endpoint.
const NON_RETRYABLE_TYPES: ReadonlySet<string> = new Set([
  'invalid_request',
  'too_large',
  'cancelled',
]);

const checkInFlight = (context: RunnerContext, active: number): void => {
  if (active < context.inFlight) return;
  const message = `too many requests are in progress: the limit is ${context.inFlight}`;
  throw createError({ type: 'overloaded', message, step: 'entry.admit', retryAfterSeconds: 1 });
};

const bindSession = async (
  context: RunnerContext,
  request: RunRequest,
): Promise<Binding | undefined> => {
  if (request.session === undefined || request.model === undefined) return undefined;
  const { model, version } = context.chooser.choose(request, undefined, new Set());
  return context.settlement.bindSession(request, { model, version });
};

/** State shared by the attempts of one request. */
interface AttemptContext {
  readonly run: Run;
  readonly binding: Binding | undefined;
  readonly excluded: Set<string>;
}

const chooseTarget = (context: RunnerContext, attempts: AttemptContext): Choice =>
  context.chooser.choose(attempts.run.request, attempts.binding, attempts.excluded);

// If no endpoint is left, the last failure is more useful than the error of the choice.
const chooseRetryTarget = (
  context: RunnerContext,
  attempts: AttemptContext,
  last: RouterError | undefined,
): Choice => {
  try {
    return chooseTarget(context, attempts);
  } catch (cause) {
    throw last ?? cause;
  }
};

const closeUnusedAttempt = (opening: Promise<OpenAttempt>, winner: OpenAttempt): void => {
  opening.then(
    (open) => {
      if (open === winner) return;
      open.release();
      open.frames.return(undefined).catch(() => {});
    },
    () => {},
  );
};

const startHedge = async (
  context: RunnerContext,
  attempts: AttemptContext,
  first: Promise<OpenAttempt>,
): Promise<OpenAttempt> => {
  const choice = chooseTarget(context, attempts);
  attempts.excluded.add(choice.member.endpoint);
  const second = startAttempt(context, attempts.run, choice);
  const winner = await Promise.any([first, second]);
  [first, second].forEach((open) => closeUnusedAttempt(open, winner));
  return winner;
};

// The slower attempt is cancelled at the settlement and counted in the same bill.
const openAttempt = async (
  context: RunnerContext,
  attempts: AttemptContext,
  choice: Choice,
): Promise<OpenAttempt> => {
  const { run } = attempts;
  const delayMs = run.request.idempotent
    ? context.policy.computeHedgeDelayMs(run.request, choice)
    : undefined;
  const first = startAttempt(context, run, choice);
  if (delayMs === undefined) return first;
  const early = await Promise.race([first, sleep(delayMs, undefined)]);
  if (early) return early;
  if (!context.policy.canRetry(run.request)) return first;
  try {
    return await startHedge(context, attempts, first);
  } catch {
    return first;
  }
};

const canRetry = (context: RunnerContext, run: Run, error: RouterError): boolean =>
  !NON_RETRYABLE_TYPES.has(error.type) &&
  !run.request.signal.aborted &&
  canRepeat(run.state, run.request.idempotent) &&
  context.policy.canRetry(run.request);

interface OpenedAttempt {
  readonly open: OpenAttempt;
  readonly choice: Choice;
}

const openWithRetries = async <T>(
  context: RunnerContext,
  attempts: AttemptContext,
  use: (opened: OpenedAttempt) => Promise<T>,
): Promise<T> => {
  const { run, excluded } = attempts;
  let last: RouterError | undefined;
  for (let retriesLeft = MAX_ATTEMPTS_PER_REQUEST - 1; ; retriesLeft -= 1) {
    const choice = chooseRetryTarget(context, attempts, last);
    excluded.add(choice.member.endpoint);
    try {
      return await use({ open: await openAttempt(context, attempts, choice), choice });
    } catch (cause) {
      const error = resolveAbortError(run.request, cause);
      last = error;
      // An attempt that may still start must not run uncounted in parallel with the next one.
      if (listUnresolved(run.state).length > 0) await closeUnresolved(context, run);
      if (retriesLeft === 0 || !canRetry(context, run, error)) throw error;
    }
  }
};

interface CascadeAnswer {
  readonly answer: BufferedAnswer;
  readonly choice: Choice;
}

// The policy sees only complete answers, so an escalation starts after the previous run ended.
const runCascade = async (
  context: RunnerContext,
  run: Run,
  first: CascadeAnswer,
): Promise<RunAnswer> => {
  let current = first;
  while (run.request.idempotent && context.policy.canEscalate(run.request, current.choice)) {
    const choice = await context.policy.chooseNext(run.request, current.answer, current.choice);
    if (!choice) break;
    try {
      const open = await startAttempt(context, run, choice);
      current = { answer: await readFullAnswer(context, run, open), choice };
    } catch {
      // The escalation failed, so the caller gets the current answer.
      break;
    }
  }
  await settleAnswer(context, run, current.answer);
  return convertToRunAnswer(current.answer);
};

/** Creates the request runner of one entry. */
export const createRequestRunner = (context: RunnerContext): RequestRunner => {
  let active = 0;

  const handleEnd = (request: RunRequest): void => {
    active -= 1;
    context.policy.release(request);
  };

  const runAttempts = async (run: Run): Promise<RunAnswer> => {
    const binding = await bindSession(context, run.request);
    const attempts: AttemptContext = { run, binding, excluded: new Set() };
    const result = await openWithRetries(context, attempts, async ({ open, choice }) => {
      const isBuffered = run.request.isBuffered || context.policy.canEscalate(run.request, choice);
      if (!isBuffered) {
        return createStreamedAnswer(context, run, open, () => handleEnd(run.request));
      }
      return { answer: await readFullAnswer(context, run, open), choice };
    });
    if (!('answer' in result)) return result;
    const answer = await runCascade(context, run, result);
    handleEnd(run.request);
    return answer;
  };

  const runClaimed = async (request: RunRequest): Promise<RunAnswer> => {
    const run = createRun(request);
    try {
      const stored = await claimOrAnswer(context, request);
      if (!stored) return await runAttempts(run);
      handleEnd(request);
      return stored;
    } catch (cause) {
      const error = resolveAbortError(request, cause);
      if (error.step === 'entry.claim') throw error;
      throw await settleFailure(context, run, error);
    }
  };

  const run: RequestRunner['run'] = async (request) => {
    if (!request.isDeferred) checkInFlight(context, active);
    context.policy.admit(request);
    active += 1;
    try {
      return await runClaimed(request);
    } catch (cause) {
      handleEnd(request);
      throw convertToRouterError(cause, 'entry.run');
    }
  };

  return {
    run,
    createRequestId: () =>
      `req_${context.lease.incarnation().toString(36)}_${randomUUID().replaceAll('-', '')}`,
    countActive: () => active,
  };
};
