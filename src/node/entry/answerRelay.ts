import { performance } from 'node:perf_hooks';
import { createError, type RouterError } from '../errors';
import type { AnswerFrame } from './attemptClient';
import { updateTracked } from './requestState';
import {
  closeUnresolved,
  recordFailure,
  resolveAbortError,
  settleAnswer,
  settleFailure,
  type OpenAttempt,
  type Run,
  type RunnerContext,
} from './runContext';
import type { RunAnswer, BufferedAnswer } from './runTypes';

const CONFIRM_INTERVAL_BYTES = 131_072;
const EMPTY_CHUNK = Buffer.alloc(0);

interface ReadProgress {
  bytes: number;
  unconfirmedBytes: number;
  /** Whether the chunks are buffered until the end of the answer. */
  readonly isBuffered: boolean;
  readonly bufferedChunks: Buffer[];
}

const checkSize = (context: RunnerContext, progress: ReadProgress): void => {
  if (progress.bytes <= context.streamBytes) return;
  const message = `the answer exceeds the limit of ${context.streamBytes} bytes`;
  throw createError({ type: 'too_large', message, step: 'entry.stream', outcome: 'unknown' });
};

const confirmProgress = (
  context: RunnerContext,
  run: Run,
  open: OpenAttempt,
  index: number,
): void => {
  const { address, attempt, incarnation } = open.tracked;
  const { requestId } = run.request;
  context.client.confirm(address, { requestId, attempt, incarnation, upTo: index + 1 });
};

const recordEnd = (
  context: RunnerContext,
  run: Run,
  open: OpenAttempt,
  frame: Extract<AnswerFrame, { readonly type: 'end' }>,
): void => {
  const { inputTokens, outputTokens } = frame;
  const usage = context.settlement.computeUsage(open.tracked, { inputTokens, outputTokens });
  run.state = updateTracked(run.state, open.tracked.attempt, { phase: 'ran', usage });
  if (!open.origin) return;
  const { choice, startedAt } = open.origin;
  const timeMs = performance.now() - startedAt;
  const tokens = inputTokens + outputTokens;
  context.policy.recordAnswer(run.request, choice, { cost: usage.cost, timeMs, tokens });
};

const recordAttemptFailure = (
  context: RunnerContext,
  run: Run,
  open: OpenAttempt,
  error: RouterError,
): void => {
  recordFailure(context, run, open.tracked, error);
  if (open.origin) context.policy.recordFailure(run.request, open.origin.choice, error);
};

const requestRating = (
  context: RunnerContext,
  run: Run,
  open: OpenAttempt,
  answer: BufferedAnswer,
): void => {
  // Not awaited, since a rating may arrive late or not at all.
  const { origin } = open;
  if (origin?.isRated) context.policy.rate(run.request, answer, origin.choice).catch(() => {});
};

/** Reads the next chunk of an answer. Returns undefined at its end. */
const readChunk = async (
  context: RunnerContext,
  run: Run,
  open: OpenAttempt,
  progress: ReadProgress,
): Promise<Buffer | undefined> => {
  const { value, done } = await open.frames.next();
  const frame = value as AnswerFrame | undefined;
  if (done || frame?.type === 'end') {
    if (frame?.type === 'end') recordEnd(context, run, open, frame);
    return undefined;
  }
  if (frame?.type !== 'data') return EMPTY_CHUNK;
  const chunk = Buffer.from(frame.data, 'base64');
  const state = progress;
  state.bytes += chunk.length;
  state.unconfirmedBytes += chunk.length;
  checkSize(context, progress);
  if (progress.isBuffered) progress.bufferedChunks.push(chunk);
  if (progress.unconfirmedBytes >= CONFIRM_INTERVAL_BYTES) {
    confirmProgress(context, run, open, frame.index);
    state.unconfirmedBytes = 0;
  }
  return chunk;
};

const createProgress = (isBuffered: boolean): ReadProgress => ({
  bytes: 0,
  unconfirmedBytes: 0,
  isBuffered,
  bufferedChunks: [],
});

const createBufferedAnswer = (open: OpenAttempt, progress: ReadProgress): BufferedAnswer => {
  const { status, contentType, headers = {} } = open.head;
  const { model, version } = open.tracked;
  return {
    status,
    contentType,
    headers,
    model,
    version,
    body: Buffer.concat(progress.bufferedChunks),
  };
};

const readRest = async (
  context: RunnerContext,
  run: Run,
  open: OpenAttempt,
  progress: ReadProgress,
): Promise<void> => {
  let chunk: Buffer | undefined = EMPTY_CHUNK;
  while (chunk) chunk = await readChunk(context, run, open, progress);
};

/** Reads an answer to its end. A failure is recorded in the run. */
export const readFullAnswer = async (
  context: RunnerContext,
  run: Run,
  open: OpenAttempt,
): Promise<BufferedAnswer> => {
  const progress = createProgress(true);
  try {
    await readRest(context, run, open, progress);
    const answer = createBufferedAnswer(open, progress);
    requestRating(context, run, open, answer);
    return answer;
  } catch (cause) {
    const error = resolveAbortError(run.request, cause);
    recordAttemptFailure(context, run, open, error);
    throw error;
  } finally {
    open.release();
  }
};

// A request with a stored answer continues without its caller, so that a retry finds the answer.
const closeEarly = async (
  context: RunnerContext,
  run: Run,
  open: OpenAttempt,
  progress: ReadProgress,
): Promise<void> => {
  try {
    if (run.request.keepsAnswer) {
      await readRest(context, run, open, progress);
      await settleAnswer(context, run, createBufferedAnswer(open, progress));
      return;
    }
    await closeUnresolved(context, run);
  } catch (cause) {
    recordFailure(context, run, open.tracked, resolveAbortError(run.request, cause));
  }
  const error = createError({
    type: 'cancelled',
    message: 'the caller closed the connection',
    step: 'entry.relay',
  });
  await settleFailure(context, run, error);
};

async function* relayChunks(
  context: RunnerContext,
  run: Run,
  open: OpenAttempt,
  handleEnd: () => void,
): AsyncGenerator<Buffer> {
  const progress = createProgress(run.request.keepsAnswer || open.origin?.isRated === true);
  let isEnded = false;
  try {
    // Started before it is returned, so that closing it early always runs the `finally` block.
    yield EMPTY_CHUNK;
    for (;;) {
      const chunk = await readChunk(context, run, open, progress);
      if (!chunk) break;
      if (chunk.length > 0) yield chunk;
    }
    isEnded = true;
    const answer = createBufferedAnswer(open, progress);
    await settleAnswer(context, run, answer);
    requestRating(context, run, open, answer);
  } catch (cause) {
    isEnded = true;
    const error = resolveAbortError(run.request, cause);
    recordAttemptFailure(context, run, open, error);
    throw await settleFailure(context, run, error);
  } finally {
    if (!isEnded) await closeEarly(context, run, open, progress);
    await open.frames.return(undefined);
    open.release();
    handleEnd();
  }
}

/** Creates an answer that streams an open attempt. Its end settles the request. */
export const createStreamedAnswer = async (
  context: RunnerContext,
  run: Run,
  open: OpenAttempt,
  handleEnd: () => void,
): Promise<RunAnswer> => {
  const chunks = relayChunks(context, run, open, handleEnd);
  await chunks.next();
  const { status, contentType, headers = {} } = open.head;
  const { model, version } = open.tracked;
  return { status, contentType, headers, model, version, chunks };
};

/** Converts a buffered answer into a run answer. */
export const convertToRunAnswer = (answer: BufferedAnswer): RunAnswer => {
  const { body, ...head } = answer;
  async function* readChunks(): AsyncGenerator<Buffer> {
    if (body.length > 0) yield body;
  }
  return { ...head, chunks: readChunks() };
};
