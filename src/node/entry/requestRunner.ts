import { randomUUID } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import { convertToRouterError, createError, type RouterError } from '../errors';
import { createStreamedAnswer, createWholeAnswer, readWholeAnswer } from './answerRelay';
import { claimOrAnswer } from './keyHolder';
import { canRepeat, listUncertain } from './requestState';
import {
  closeUncertain,
  createRun,
  resolveAbort,
  settleAnswer,
  settleFailure,
  startAttempt,
  type OpenAttempt,
  type Run,
  type RunnerParts,
} from './runContext';
import type { RunAnswer, RunRequest, WholeAnswer } from './runTypes';
import type { Binding, Choice } from './targetChoice';

/** Runs requests, from the claim of the key and the attempts to the settlement. */
export interface RequestRunner {
  readonly run: (request: RunRequest) => Promise<RunAnswer>;
  readonly createRequestId: () => string;
  readonly countActive: () => number;
}

const ATTEMPTS_PER_REQUEST = 3;

// Errors caused by the caller, which would be the same on every endpoint.
const FINAL_TYPES: ReadonlySet<string> = new Set(['invalid_request', 'too_large', 'cancelled']);

const checkInFlight = (parts: RunnerParts, active: number): void => {
  if (active < parts.inFlight) return;
  const message = `too many requests are in progress: the limit is ${parts.inFlight}`;
  throw createError({ type: 'overloaded', message, step: 'entry.admit', retryAfterSeconds: 1 });
};

const bindSession = async (
  parts: RunnerParts,
  request: RunRequest,
): Promise<Binding | undefined> => {
  if (request.session === undefined || request.model === undefined) return undefined;
  const { model, version } = parts.chooser.choose(request, undefined, new Set());
  return parts.settlement.bindSession(request, { model, version });
};

/** State shared by the attempts of one request. */
interface Attempts {
  readonly run: Run;
  readonly bound: Binding | undefined;
  readonly excluded: Set<string>;
}

const chooseTarget = (parts: RunnerParts, attempts: Attempts): Choice =>
  parts.chooser.choose(attempts.run.request, attempts.bound, attempts.excluded);

// If no endpoint is left, the last failure is more useful than the error of the choice.
const chooseOther = (
  parts: RunnerParts,
  attempts: Attempts,
  last: RouterError | undefined,
): Choice => {
  try {
    return chooseTarget(parts, attempts);
  } catch (cause) {
    throw last ?? cause;
  }
};

const closeLoser = (opening: Promise<OpenAttempt>, winner: OpenAttempt): void => {
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
  parts: RunnerParts,
  attempts: Attempts,
  first: Promise<OpenAttempt>,
): Promise<OpenAttempt> => {
  const choice = chooseTarget(parts, attempts);
  attempts.excluded.add(choice.member.endpoint);
  const second = startAttempt(parts, attempts.run, choice);
  const winner = await Promise.any([first, second]);
  [first, second].forEach((open) => closeLoser(open, winner));
  return winner;
};

// The slower attempt is cancelled at the settlement and counted in the same bill.
const openAttempt = async (
  parts: RunnerParts,
  attempts: Attempts,
  choice: Choice,
): Promise<OpenAttempt> => {
  const { run } = attempts;
  const delayMs = run.request.idempotent
    ? parts.policy.computeHedgeDelayMs(run.request, choice)
    : undefined;
  const first = startAttempt(parts, run, choice);
  if (delayMs === undefined) return first;
  const early = await Promise.race([first, sleep(delayMs, undefined)]);
  if (early) return early;
  if (!parts.policy.canRetry(run.request)) return first;
  try {
    return await startHedge(parts, attempts, first);
  } catch {
    return first;
  }
};

const canRetry = (parts: RunnerParts, run: Run, error: RouterError): boolean =>
  !FINAL_TYPES.has(error.type) &&
  !run.request.signal.aborted &&
  canRepeat(run.state, run.request.idempotent) &&
  parts.policy.canRetry(run.request);

interface OpenedAttempt {
  readonly open: OpenAttempt;
  readonly choice: Choice;
}

const openWithRetries = async <T>(
  parts: RunnerParts,
  attempts: Attempts,
  use: (opened: OpenedAttempt) => Promise<T>,
): Promise<T> => {
  const { run, excluded } = attempts;
  let last: RouterError | undefined;
  for (let left = ATTEMPTS_PER_REQUEST - 1; ; left -= 1) {
    const choice = chooseOther(parts, attempts, last);
    excluded.add(choice.member.endpoint);
    try {
      return await use({ open: await openAttempt(parts, attempts, choice), choice });
    } catch (cause) {
      const error = resolveAbort(run.request, cause);
      last = error;
      // An attempt that may still start must not run uncounted in parallel with the next one.
      if (listUncertain(run.state).length > 0) await closeUncertain(parts, run);
      if (left === 0 || !canRetry(parts, run, error)) throw error;
    }
  }
};

interface HeldAnswer {
  readonly whole: WholeAnswer;
  readonly choice: Choice;
}

// The policy sees only complete answers, so an escalation starts after the previous run ended.
const runCascade = async (parts: RunnerParts, run: Run, first: HeldAnswer): Promise<RunAnswer> => {
  let held = first;
  while (run.request.idempotent && parts.policy.isCascade(run.request, held.choice)) {
    const choice = await parts.policy.chooseNext(run.request, held.whole, held.choice);
    if (!choice) break;
    try {
      const open = await startAttempt(parts, run, choice);
      held = { whole: await readWholeAnswer(parts, run, open), choice };
    } catch {
      // The escalation failed, so the caller gets the current answer.
      break;
    }
  }
  await settleAnswer(parts, run, held.whole);
  return createWholeAnswer(held.whole);
};

/** Creates the request runner of one entry. */
export const createRequestRunner = (parts: RunnerParts): RequestRunner => {
  let active = 0;

  const handleEnd = (request: RunRequest): void => {
    active -= 1;
    parts.policy.release(request);
  };

  const runAttempts = async (run: Run): Promise<RunAnswer> => {
    const bound = await bindSession(parts, run.request);
    const attempts: Attempts = { run, bound, excluded: new Set() };
    const result = await openWithRetries(parts, attempts, async ({ open, choice }) => {
      const isWhole = run.request.isWhole || parts.policy.isCascade(run.request, choice);
      if (!isWhole) {
        return createStreamedAnswer(parts, run, open, () => handleEnd(run.request));
      }
      return { whole: await readWholeAnswer(parts, run, open), choice };
    });
    if (!('whole' in result)) return result;
    const answer = await runCascade(parts, run, result);
    handleEnd(run.request);
    return answer;
  };

  const runClaimed = async (request: RunRequest): Promise<RunAnswer> => {
    const run = createRun(request);
    try {
      const stored = await claimOrAnswer(parts, request);
      if (!stored) return await runAttempts(run);
      handleEnd(request);
      return stored;
    } catch (cause) {
      const error = resolveAbort(request, cause);
      if (error.step === 'entry.claim') throw error;
      throw await settleFailure(parts, run, error);
    }
  };

  const run: RequestRunner['run'] = async (request) => {
    if (!request.isDeferred) checkInFlight(parts, active);
    parts.policy.admit(request);
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
      `req_${parts.lease.incarnation().toString(36)}_${randomUUID().replaceAll('-', '')}`,
    countActive: () => active,
  };
};
