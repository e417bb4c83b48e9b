import { createError, type Outcome, type RouterError } from '../errors';
import type { AttemptRecord, RequestRecord } from '../ledger';
import type { AttemptRequest } from '../shared';
import { createWholeAnswer, readWholeAnswer } from './answerRelay';
import {
  computeOutcome,
  listUncertain,
  updateTracked,
  type AttemptPhase,
  type TrackedAttempt,
} from './requestState';
import { closeUncertain, settleAnswer, type Run, type RunnerParts } from './runContext';
import type { RunAnswer, RunRequest, WholeAnswer } from './runTypes';
import type { KeyHolder } from './settlement';

const WAIT_STEP_MS = 250;
const WAIT_STEPS = 40;

const createHolderError = (
  record: RequestRecord,
  message: string,
  outcome: Outcome,
  retryAfterSeconds?: number,
): RouterError => {
  const step = 'entry.claim';
  const peer = record.requestId;
  return createError({ type: 'conflict', message, step, peer, outcome, retryAfterSeconds });
};

/** Returns the stored answer of an earlier request, if there is one. */
export const readStoredAnswer = (record: RequestRecord): RunAnswer | undefined => {
  if (!record.answer) return undefined;
  const { body, headers = {}, ...head } = record.answer;
  return createWholeAnswer({ ...head, headers, body: Buffer.from(body, 'base64') });
};

type EndedState = Exclude<RequestRecord['state'], 'queued' | 'running' | 'not_run'>;

const ENDED: Readonly<Record<EndedState, (record: RequestRecord) => RouterError>> = {
  done: (record) =>
    createHolderError(record, 'the request has run, but its answer is not stored', 'ran'),
  failed: (record) =>
    createHolderError(record, record.error?.message ?? 'the request has failed', 'ran'),
  unknown: (record) =>
    createHolderError(record, 'it is unknown whether the request has run', 'unknown'),
};

const PHASES: Readonly<Record<AttemptRecord['state'], AttemptPhase>> = {
  open: 'sent',
  ran: 'ran',
  never: 'never',
  unknown: 'unknown',
};

const findAddress = (parts: RunnerParts, item: AttemptRecord): string =>
  parts.lease.view
    .list('member')
    .find((member) => member.node === item.agent && member.incarnation === item.incarnation)
    ?.address ?? '';

const createTracked = (parts: RunnerParts, item: AttemptRecord): TrackedAttempt => {
  const { attempt, agent, incarnation, model, version, usage } = item;
  const address = findAddress(parts, item);
  return { attempt, address, agent, incarnation, model, version, usage, phase: PHASES[item.state] };
};

const createFollowed = (run: Run, tracked: TrackedAttempt): AttemptRequest =>
  ({
    requestId: run.request.requestId,
    attempt: tracked.attempt,
    incarnation: tracked.incarnation,
  }) as AttemptRequest;

const refuseAll = async (parts: RunnerParts, run: Run): Promise<void> => {
  for (const item of listUncertain(run.state)) {
    if (item.address === '') continue;
    const { requestId } = run.request;
    const { attempt, incarnation } = item;
    const end = await parts.client.refuse(item.address, { requestId, attempt, incarnation });
    if (end.state === 'never') {
      run.state = updateTracked(run.state, attempt, { phase: 'never' });
    }
  }
};

const fetchAttempt = async (
  parts: RunnerParts,
  run: Run,
  tracked: TrackedAttempt,
): Promise<WholeAnswer | undefined> => {
  const { signal } = run.request;
  const message = createFollowed(run, tracked);
  const frames = parts.client.open(tracked.address, message, signal, true);
  try {
    const first = await frames.next();
    const head = first.value;
    if (head?.type !== 'head') return undefined;
    return await readWholeAnswer(parts, run, { tracked, head, frames, release: () => {} });
  } catch {
    return undefined;
  }
};

const fetchAny = async (parts: RunnerParts, run: Run): Promise<WholeAnswer | undefined> => {
  for (const tracked of run.state.attempts) {
    const canFollow = tracked.phase !== 'never' && tracked.address !== '';
    const answer = canFollow ? await fetchAttempt(parts, run, tracked) : undefined;
    if (answer) return answer;
  }
  return undefined;
};

/**
 * Settles a request whose entry has ended. Fetches the answer of one of its attempts from the
 * agent, or ensures that no attempt runs. Returns undefined if the request has not run and never
 * will.
 */
const settleOrphan = async (
  parts: RunnerParts,
  request: RunRequest,
  record: RequestRecord,
): Promise<RunAnswer | undefined> => {
  const owned = { ...request, requestId: record.requestId, keepsAnswer: true, isWhole: true };
  const attempts = record.attempts.map((item) => createTracked(parts, item));
  const run: Run = { request: owned, state: { attempts }, nextAttempt: attempts.length };
  await refuseAll(parts, run);
  const answer = await fetchAny(parts, run);
  if (answer) {
    await settleAnswer(parts, run, answer);
    return createWholeAnswer(answer);
  }
  await closeUncertain(parts, run);
  const outcome = computeOutcome(run.state);
  const settled = await parts.settlement.settle(owned, run.state, { outcome });
  if (settled === 'not_run') return undefined;
  throw createHolderError(
    record,
    'the entry of the request has ended and its answer is lost',
    'unknown',
  );
};

const readEnded = (record: RequestRecord): RunAnswer | undefined => {
  const stored = readStoredAnswer(record);
  if (stored) return stored;
  const isOpen = record.state === 'queued' || record.state === 'running';
  if (isOpen || record.state === 'not_run') return undefined;
  throw ENDED[record.state](record);
};

/**
 * Claims the idempotency key of a request. If an earlier request holds the key, waits while that
 * one runs, settles it if its entry has ended, and returns its answer. Returns undefined if the
 * key is claimed for this request.
 */
export const claimOrAnswer = async (
  parts: RunnerParts,
  request: RunRequest,
): Promise<RunAnswer | undefined> => {
  let holder: KeyHolder | undefined;
  for (let step = 0; step < WAIT_STEPS && !request.signal.aborted; step += 1) {
    holder = await parts.settlement.claim(request);
    if (!holder) return undefined;
    const { record, isOwnerGone } = holder;
    const ended = readEnded(record);
    if (ended) return ended;
    const isOrphan = record.state === 'running' && isOwnerGone && record.request === undefined;
    if (isOrphan && (await parts.settlement.takeOver(request, record))) {
      const finished = await settleOrphan(parts, request, record);
      if (finished) return finished;
    } else {
      await parts.wait(WAIT_STEP_MS);
    }
  }
  throw createHolderError(
    holder!.record,
    'an earlier request with this key is still running',
    'unknown',
    1,
  );
};
