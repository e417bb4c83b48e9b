import { createInterface } from 'node:readline';
import type { Readable } from 'node:stream';
import { createError, type ErrorType, type RouterError, type RouterErrorFields } from '../errors';
import type { RpcClient } from '../rpc';
import type { AttemptRequest, Frame } from '../shared';

/** A frame that carries a part of an answer. */
export type AnswerFrame = Exclude<Frame, { readonly type: 'keepAlive' | 'failed' }>;

const SILENCE_LIMIT_MS = 3_000;
const CONNECT_LIMIT_MS = 3_000;
const RESUME_TRIES = 3;

interface RunState {
  next: number;
  hasReached: boolean;
}

const readError = async (body: { readonly json: () => Promise<unknown> }, peer: string) => {
  const value = (await body.json()) as { readonly error?: RouterErrorFields };
  const fields = value.error;
  if (!fields?.type) {
    const message = 'the agent answered without an error body';
    return createError({ type: 'peer_failed', message, step: 'entry.dispatch', peer });
  }
  return createError({ ...fields, peer });
};

const parseFrame = (line: string, peer: string): Frame => {
  try {
    return JSON.parse(line) as Frame;
  } catch {
    const message = 'the agent sent a broken frame';
    throw createError({ type: 'peer_failed', message, step: 'entry.stream', peer, outcome: 'ran' });
  }
};

const openStream = async (
  rpc: RpcClient,
  address: string,
  attempt: AttemptRequest,
  state: RunState,
  signal: AbortSignal,
): Promise<Readable> => {
  const path = `/attempts/${attempt.requestId}/${attempt.attempt}?from=${state.next}`;
  const headers = { 'content-type': 'application/json' };
  const response = state.hasReached
    ? await rpc.request(address, { path, method: 'GET', signal, bodyTimeout: SILENCE_LIMIT_MS })
    : await rpc.request(address, {
        path: '/attempts',
        method: 'POST',
        headers,
        body: JSON.stringify(attempt),
        signal,
        headersTimeout: CONNECT_LIMIT_MS,
        bodyTimeout: SILENCE_LIMIT_MS,
      });
  if (response.statusCode !== 200) throw await readError(response.body, address);
  return response.body;
};

async function* readFrames(
  body: Readable,
  state: RunState,
  peer: string,
): AsyncGenerator<AnswerFrame> {
  const lines = createInterface({ input: body, crlfDelay: Infinity });
  for await (const line of lines) {
    const frame = parseFrame(line, peer);
    if (frame.type === 'keepAlive' || frame.index < state.next) continue;
    state.next = frame.index + 1;
    if (frame.type === 'failed') {
      const type = frame.error.type as ErrorType;
      throw createError({ ...frame.error, type, peer });
    }
    yield frame;
    if (frame.type === 'end') return;
  }
  const message = 'the stream ended early';
  throw createError({
    type: 'peer_failed',
    message,
    step: 'entry.stream',
    peer,
    outcome: 'unknown',
  });
}

const canResume = (error: unknown, signal: AbortSignal): boolean =>
  !signal.aborted && (error as RouterError).type === undefined;

/**
 * Starts an attempt and yields its frames in order, each once. A silent or broken connection
 * is replaced by a new one that goes on at the next index.
 */
export async function* runAttempt(
  rpc: RpcClient,
  address: string,
  attempt: AttemptRequest,
  signal: AbortSignal,
): AsyncGenerator<AnswerFrame> {
  const state: RunState = { next: 0, hasReached: false };
  let failures = 0;
  for (;;) {
    try {
      const body = await openStream(rpc, address, attempt, state, signal);
      state.hasReached = true;
      yield* readFrames(body, state, address);
      return;
    } catch (cause) {
      failures += 1;
      if (!canResume(cause, signal) || failures > RESUME_TRIES) throw cause;
    }
  }
}
