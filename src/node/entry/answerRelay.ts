import { performance } from 'node:perf_hooks';
import { createError, type RouterError } from '../errors';
import type { AnswerFrame } from './attemptClient';
import { updateTracked } from './requestState';
import {
  closeUncertain,
  recordFailure,
  resolveAbort,
  settleAnswer,
  settleFailure,
  type OpenAttempt,
  type Run,
  type RunnerParts,
} from './runContext';
import type { RunAnswer, WholeAnswer } from './runTypes';

const CONFIRM_BYTES = 131_072;
const NO_PIECE = Buffer.alloc(0);

interface Progress {
  bytes: number;
  unconfirmed: number;
  /** Whether the chunks are buffered until the end of the answer. */
  readonly isKept: boolean;
  readonly kept: Buffer[];
}

const checkSize = (parts: RunnerParts, progress: Progress): void => {
  if (progress.bytes <= parts.streamBytes) return;
  const message = `the answer exceeds the limit of ${parts.streamBytes} bytes`;
  throw createError({ type: 'too_large', message, step: 'entry.stream', outcome: 'unknown' });
};

const confirmProgress = (parts: RunnerParts, run: Run, open: OpenAttempt, index: number): void => {
  const { address, attempt, incarnation } = open.tracked;
  const { requestId } = run.request;
  parts.client.confirm(address, { requestId, attempt, incarnation, upTo: index + 1 });
};

const recordEnd = (
  parts: RunnerParts,
  run: Run,
  open: OpenAttempt,
  frame: Extract<AnswerFrame, { readonly type: 'end' }>,
): void => {
  const { inputTokens, outputTokens } = frame;
  const usage = parts.settlement.computeUsage(open.tracked, { inputTokens, outputTokens });
  run.state = updateTracked(run.state, open.tracked.attempt, { phase: 'ran', usage });
  if (!open.origin) return;
  const { choice, startedAt } = open.origin;
  const timeMs = performance.now() - startedAt;
  const tokens = inputTokens + outputTokens;
  parts.policy.recordAnswer(run.request, choice, { cost: usage.cost, timeMs, tokens });
};

const recordBreak = (parts: RunnerParts, run: Run, open: OpenAttempt, error: RouterError): void => {
  recordFailure(parts, run, open.tracked, error);
  if (open.origin) parts.policy.recordFailure(run.request, open.origin.choice, error);
};

const sendRating = (parts: RunnerParts, run: Run, open: OpenAttempt, answer: WholeAnswer): void => {
  // Not awaited, since a rating may arrive late or not at all.
  const { origin } = open;
  if (origin?.isRated) parts.policy.rate(run.request, answer, origin.choice).catch(() => {});
};

/** Reads the next chunk of an answer. Returns undefined at its end. */
const readPiece = async (
  parts: RunnerParts,
  run: Run,
  open: OpenAttempt,
  progress: Progress,
): Promise<Buffer | undefined> => {
  const { value, done } = await open.frames.next();
  const frame = value as AnswerFrame | undefined;
  if (done || frame?.type === 'end') {
    if (frame?.type === 'end') recordEnd(parts, run, open, frame);
    return undefined;
  }
  if (frame?.type !== 'data') return NO_PIECE;
  const piece = Buffer.from(frame.data, 'base64');
  const state = progress;
  state.bytes += piece.length;
  state.unconfirmed += piece.length;
  checkSize(parts, progress);
  if (progress.isKept) progress.kept.push(piece);
  if (progress.unconfirmed >= CONFIRM_BYTES) {
    confirmProgress(parts, run, open, frame.index);
    state.unconfirmed = 0;
  }
  return piece;
};

const createProgress = (isKept: boolean): Progress => ({
  bytes: 0,
  unconfirmed: 0,
  isKept,
  kept: [],
});

const formatWhole = (open: OpenAttempt, progress: Progress): WholeAnswer => {
  const { status, contentType, headers = {} } = open.head;
  const { model, version } = open.tracked;
  return { status, contentType, headers, model, version, body: Buffer.concat(progress.kept) };
};

const readRest = async (
  parts: RunnerParts,
  run: Run,
  open: OpenAttempt,
  progress: Progress,
): Promise<void> => {
  let piece: Buffer | undefined = NO_PIECE;
  while (piece) piece = await readPiece(parts, run, open, progress);
};

/** Reads an answer to its end. A failure is recorded in the run. */
export const readWholeAnswer = async (
  parts: RunnerParts,
  run: Run,
  open: OpenAttempt,
): Promise<WholeAnswer> => {
  const progress = createProgress(true);
  try {
    await readRest(parts, run, open, progress);
    const whole = formatWhole(open, progress);
    sendRating(parts, run, open, whole);
    return whole;
  } catch (cause) {
    const error = resolveAbort(run.request, cause);
    recordBreak(parts, run, open, error);
    throw error;
  } finally {
    open.release();
  }
};

// A request with a stored answer continues without its caller, so that a retry finds the answer.
const closeEarly = async (
  parts: RunnerParts,
  run: Run,
  open: OpenAttempt,
  progress: Progress,
): Promise<void> => {
  try {
    if (run.request.keepsAnswer) {
      await readRest(parts, run, open, progress);
      await settleAnswer(parts, run, formatWhole(open, progress));
      return;
    }
    await closeUncertain(parts, run);
  } catch (cause) {
    recordFailure(parts, run, open.tracked, resolveAbort(run.request, cause));
  }
  const error = createError({
    type: 'cancelled',
    message: 'the caller closed the connection',
    step: 'entry.relay',
  });
  await settleFailure(parts, run, error);
};

async function* relayPieces(
  parts: RunnerParts,
  run: Run,
  open: OpenAttempt,
  handleEnd: () => void,
): AsyncGenerator<Buffer> {
  const progress = createProgress(run.request.keepsAnswer || open.origin?.isRated === true);
  let isEnded = false;
  try {
    // Started before it is returned, so that closing it early always runs the `finally` block.
    yield NO_PIECE;
    for (;;) {
      const piece = await readPiece(parts, run, open, progress);
      if (!piece) break;
      if (piece.length > 0) yield piece;
    }
    isEnded = true;
    const whole = formatWhole(open, progress);
    await settleAnswer(parts, run, whole);
    sendRating(parts, run, open, whole);
  } catch (cause) {
    isEnded = true;
    const error = resolveAbort(run.request, cause);
    recordBreak(parts, run, open, error);
    throw await settleFailure(parts, run, error);
  } finally {
    if (!isEnded) await closeEarly(parts, run, open, progress);
    await open.frames.return(undefined);
    open.release();
    handleEnd();
  }
}

/** Creates an answer that streams an open attempt. Its end settles the request. */
export const createStreamedAnswer = async (
  parts: RunnerParts,
  run: Run,
  open: OpenAttempt,
  handleEnd: () => void,
): Promise<RunAnswer> => {
  const pieces = relayPieces(parts, run, open, handleEnd);
  await pieces.next();
  const { status, contentType, headers = {} } = open.head;
  const { model, version } = open.tracked;
  return { status, contentType, headers, model, version, pieces };
};

/** Converts a buffered answer into a run answer. */
export const createWholeAnswer = (whole: WholeAnswer): RunAnswer => {
  const { body, ...head } = whole;
  async function* readPieces(): AsyncGenerator<Buffer> {
    if (body.length > 0) yield body;
  }
  return { ...head, pieces: readPieces() };
};
