import { createError, type Outcome, type RouterError } from '../errors';
import type { AttemptRecord, RequestRecord } from '../ledger';
import type { AttemptRequest } from '../shared';
import { convertToRunAnswer, readFullAnswer } from './answerRelay';
import {
  computeOutcome,
  listUnresolved,
  updateTracked,
  type AttemptPhase,
  type TrackedAttempt,
} from './requestState';
import { closeUnresolved, settleAnswer, type Run, type RunnerContext } from './runContext';
import type { RunAnswer, RunRequest, BufferedAnswer } from './runTypes';
import type { KeyHolder } from './settlement';

const CLAIM_POLL_INTERVAL_MS = 250;
const MAX_CLAIM_POLLS = 40;

const createConflictError = (
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
  return convertToRunAnswer({ ...head, headers, body: Buffer.from(body, 'base64') });
};

type EndedState = Exclude<RequestRecord['state'], 'queued' | 'running' | 'not_run'>;

const ERROR_BY_STATE: Readonly<Record<EndedState, (record: RequestRecord) => RouterError>> = {
  done: (record) =>
    createConflictError(record, 'the request has run, but its answer is not stored', 'ran'),
  failed: (record) =>
    createConflictError(record, record.error?.message ?? 'the request has failed', 'ran'),
  unknown: (record) =>
    createConflictError(record, 'it is unknown whether the request has run', 'unknown'),
};

const PHASE_BY_STATE: Readonly<Record<AttemptRecord['state'], AttemptPhase>> = {
  open: 'sent',
  ran: 'ran',
  never: 'never',
  unknown: 'unknown',
};

const findAddress = (context: RunnerContext, item: AttemptRecord): string =>
  context.lease.view
    .list('member')
    .find((member) => member.node === item.agent && member.incarnation === item.incarnation)
    ?.address ?? '';

const createTracked = (context: RunnerContext, item: AttemptRecord): TrackedAttempt => {
  const { attempt, agent, incarnation, model, version, usage } = item;
  const address = findAddress(context, item);
  return {
    attempt,
    address,
    agent,
    incarnation,
    model,
    version,
    usage,
    phase: PHASE_BY_STATE[item.state],
  };
};

const createResumeRequest = (run: Run, tracked: TrackedAttempt): AttemptRequest =>
  ({
    requestId: run.request.requestId,
    attempt: tracked.attempt,
    incarnation: tracked.incarnation,
  }) as AttemptRequest;

const refuseUnresolved = async (context: RunnerContext, run: Run): Promise<void> => {
  for (const item of listUnresolved(run.state)) {
    if (item.address === '') continue;
    const { requestId } = run.request;
    const { attempt, incarnation } = item;
    const end = await context.client.refuse(item.address, { requestId, attempt, incarnation });
    if (end.state === 'never') {
      run.state = updateTracked(run.state, attempt, { phase: 'never' });
    }
  }
};

const fetchAttemptAnswer = async (
  context: RunnerContext,
  run: Run,
  tracked: TrackedAttempt,
): Promise<BufferedAnswer | undefined> => {
  const { signal } = run.request;
  const message = createResumeRequest(run, tracked);
  const frames = context.client.open(tracked.address, message, signal, true);
  try {
    const first = await frames.next();
    const head = first.value;
    if (head?.type !== 'head') return undefined;
    return await readFullAnswer(context, run, { tracked, head, frames, release: () => {} });
  } catch {
    return undefined;
  }
};

const fetchAnyAnswer = async (
  context: RunnerContext,
  run: Run,
): Promise<BufferedAnswer | undefined> => {
  for (const tracked of run.state.attempts) {
    const canFollow = tracked.phase !== 'never' && tracked.address !== '';
    const answer = canFollow ? await fetchAttemptAnswer(context, run, tracked) : undefined;
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
  context: RunnerContext,
  request: RunRequest,
  record: RequestRecord,
): Promise<RunAnswer | undefined> => {
  const ownRequest = {
    ...request,
    requestId: record.requestId,
    keepsAnswer: true,
    isBuffered: true,
  };
  const attempts = record.attempts.map((item) => createTracked(context, item));
  const run: Run = { request: ownRequest, state: { attempts }, nextAttempt: attempts.length };
  await refuseUnresolved(context, run);
  const answer = await fetchAnyAnswer(context, run);
  if (answer) {
    await settleAnswer(context, run, answer);
    return convertToRunAnswer(answer);
  }
  await closeUnresolved(context, run);
  const outcome = computeOutcome(run.state);
  const settled = await context.settlement.settle(ownRequest, run.state, { outcome });
  if (settled === 'not_run') return undefined;
  throw createConflictError(
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
  throw ERROR_BY_STATE[record.state](record);
};

/**
 * Claims the idempotency key of a request. If an earlier request holds the key, waits while that
 * one runs, settles it if its entry has ended, and returns its answer. Returns undefined if the
 * key is claimed for this request.
 */
export const claimOrAnswer = async (
  context: RunnerContext,
  request: RunRequest,
): Promise<RunAnswer | undefined> => {
  let holder: KeyHolder | undefined;
  for (let step = 0; step < MAX_CLAIM_POLLS && !request.signal.aborted; step += 1) {
    holder = await context.settlement.claim(request);
    if (!holder) return undefined;
    const { record, isOwnerGone } = holder;
    const ended = readEnded(record);
    if (ended) return ended;
    const isOrphan = record.state === 'running' && isOwnerGone && record.request === undefined;
    if (isOrphan && (await context.settlement.takeOver(request, record))) {
      const finished = await settleOrphan(context, request, record);
      if (finished) return finished;
    } else {
      await context.wait(CLAIM_POLL_INTERVAL_MS);
    }
  }
  throw createConflictError(
    holder!.record,
    'an earlier request with this key is still running',
    'unknown',
    1,
  );
};
