import type { Readable } from 'node:stream';
import { createError, RouterError, type ErrorType, type RouterErrorFields } from '../errors';
import type { RpcClient } from '../rpc';
import { sleep, type Sleep } from './sleep';
import {
  formatAttemptName,
  type AttemptConfirmation,
  type AttemptEnd,
  type AttemptName,
  type AttemptRequest,
  type Frame,
  type NumberedFrame,
} from '../shared';

/** A frame that is part of an answer. */
export type AnswerFrame = Exclude<NumberedFrame, { readonly type: 'failed' }>;

/** Starts attempts on agents and reads their answers. */
export interface AttemptClient {
  /**
   * Starts an attempt, or resumes one if `isStarted`, and yields each of its frames once, in
   * order. The outcome of a thrown error is the outcome of the attempt.
   */
  readonly open: (
    address: string,
    attempt: AttemptRequest,
    signal: AbortSignal,
    isStarted?: boolean,
  ) => AsyncGenerator<AnswerFrame>;
  /** Prevents an attempt from starting. Returns `never` only if the agent confirms it. */
  readonly refuse: (address: string, name: AttemptName) => Promise<AttemptEnd>;
  /** Refuses an attempt or aborts its engine call. */
  readonly cancel: (address: string, name: AttemptName) => Promise<AttemptEnd>;
  /** Confirms what was received, so that the agent can drop it. Sent in batches. */
  readonly confirm: (address: string, item: AttemptConfirmation) => void;
}

const STREAM_IDLE_TIMEOUT_MS = 3_000;
const HEADERS_TIMEOUT_MS = 3_000;
const MAX_RESUME_TRIES = 3;
const RESUME_BACKOFF_MS = 100;
const CONFIRM_DELAY_MS = 50;

const CONNECT_FAILURES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

interface StreamState {
  nextIndex: number;
  /** Whether the agent has replied for the attempt. */
  isStarted: boolean;
  /** Number of messages that may have reached the agent. */
  sendCount: number;
}

const readError = async (
  body: { readonly json: () => Promise<unknown> },
  peer: string,
): Promise<RouterError> => {
  const value = (await body.json()) as { readonly error?: RouterErrorFields };
  const fields = value.error;
  if (!fields?.type) {
    const message = 'the agent replied with an error status but without an error body';
    const outcome = 'unknown';
    return createError({ type: 'peer_failed', message, step: 'entry.dispatch', peer, outcome });
  }
  return createError({ ...fields, peer });
};

// A refusal applies only to the message that it answers. If another message may have reached the
// agent or an earlier incarnation of it, only a tombstone proves that the attempt never runs.
const resolveRefusal = (error: RouterError, state: StreamState): RouterError => {
  const isOnlyMessage = state.sendCount === 1 && !state.isStarted;
  if (error.outcome === 'not_run' && isOnlyMessage) return error;
  const { message, step, peer } = error;
  const outcome = error.outcome === 'ran' ? 'ran' : 'unknown';
  return createError({ type: 'peer_failed', message, step, peer, outcome });
};

const parseFrame = (line: string, peer: string): Frame => {
  try {
    return JSON.parse(line) as Frame;
  } catch {
    const message = 'the agent sent a frame that is not JSON';
    const outcome = 'unknown';
    throw createError({ type: 'peer_failed', message, step: 'entry.stream', peer, outcome });
  }
};

async function* readLines(body: Readable): AsyncGenerator<string> {
  const decoder = new TextDecoder();
  let rest = '';
  for await (const chunk of body) {
    const lines = (rest + decoder.decode(chunk as Buffer, { stream: true })).split('\n');
    rest = lines.pop()!;
    yield* lines;
  }
}

const checkFrameName = (frame: NumberedFrame, expected: string, peer: string): void => {
  if (frame.name === expected) return;
  const message = `received a frame of attempt '${frame.name}' in the stream of '${expected}'`;
  const outcome = 'unknown';
  throw createError({ type: 'peer_failed', message, step: 'entry.stream', peer, outcome });
};

const checkFrameIndex = (frame: NumberedFrame, next: number, peer: string): void => {
  if (frame.index === next) return;
  const message = `expected frame ${next}, received frame ${frame.index}`;
  const outcome = 'unknown';
  throw createError({ type: 'peer_failed', message, step: 'entry.stream', peer, outcome });
};

async function* readFrames(
  body: Readable,
  attempt: AttemptRequest,
  state: StreamState,
  peer: string,
): AsyncGenerator<AnswerFrame> {
  const expected = formatAttemptName(attempt.requestId, attempt.attempt);
  for await (const line of readLines(body)) {
    const frame = parseFrame(line, peer);
    if (frame.type === 'keepAlive') continue;
    checkFrameName(frame, expected, peer);
    if (frame.index < state.nextIndex) continue;
    checkFrameIndex(frame, state.nextIndex, peer);
    state.nextIndex = frame.index + 1;
    if (frame.type === 'failed') {
      const type = frame.error.type as ErrorType;
      throw createError({ ...frame.error, type, peer, data: frame.counts });
    }
    yield frame;
    if (frame.type === 'end') return;
  }
  throw new Error('the stream ended before its last frame');
}

const isConnectFailure = (cause: unknown): boolean =>
  CONNECT_FAILURES.has((cause as { readonly code?: string }).code ?? '');

const createDisconnectError = (cause: unknown, state: StreamState, peer: string): RouterError => {
  const message = cause instanceof Error ? cause.message : String(cause);
  const outcome = state.sendCount === 0 ? 'not_run' : 'unknown';
  return createError({ type: 'peer_failed', message, step: 'entry.dispatch', peer, outcome });
};

const createStreamReader = (rpc: Pick<RpcClient, 'request'>) => {
  const openStream = async (
    address: string,
    attempt: AttemptRequest,
    state: StreamState,
    signal: AbortSignal,
  ): Promise<Readable> => {
    const { requestId, incarnation } = attempt;
    const query = `from=${state.nextIndex}&incarnation=${incarnation}`;
    const path = `/attempts/${requestId}/${attempt.attempt}?${query}`;
    const limits = {
      signal,
      headersTimeout: HEADERS_TIMEOUT_MS,
      bodyTimeout: STREAM_IDLE_TIMEOUT_MS,
    };
    const response = state.isStarted
      ? await rpc.request(address, { path, method: 'GET', ...limits })
      : await rpc.request(address, {
          path: '/attempts',
          method: 'POST',
          headers: { 'content-type': 'application/json' },
          body: JSON.stringify(attempt),
          ...limits,
        });
    if (response.statusCode !== 200) throw await readError(response.body, address);
    return response.body;
  };

  async function* readOnce(
    address: string,
    attempt: AttemptRequest,
    state: StreamState,
    signal: AbortSignal,
  ): AsyncGenerator<AnswerFrame> {
    state.sendCount += 1;
    let body: Readable;
    try {
      body = await openStream(address, attempt, state, signal);
    } catch (cause) {
      if (isConnectFailure(cause)) state.sendCount -= 1;
      throw cause instanceof RouterError ? resolveRefusal(cause, state) : cause;
    }
    state.isStarted = true;
    yield* readFrames(body, attempt, state, address);
  }

  return readOnce;
};

const createConfirmationBatcher = (
  rpc: Pick<RpcClient, 'call'>,
  wait: Sleep,
): AttemptClient['confirm'] => {
  const waiting = new Map<string, AttemptConfirmation[]>();
  const sendConfirmations = async (address: string): Promise<void> => {
    await wait(CONFIRM_DELAY_MS);
    const items = waiting.get(address) ?? [];
    waiting.delete(address);
    await rpc.call(address, 'attempt.confirm', { items });
  };
  return (address, item) => {
    const items = waiting.get(address);
    if (items) items.push(item);
    else {
      waiting.set(address, [item]);
      sendConfirmations(address).catch(() => {});
    }
  };
};

const UNKNOWN_END: AttemptEnd = { type: 'ended', state: 'unknown' };

/** Creates the attempt client of one entry. */
export const createAttemptClient = (
  rpc: Pick<RpcClient, 'call' | 'request' | 'replaceConnections'>,
  wait: Sleep = sleep,
): AttemptClient => {
  const readOnce = createStreamReader(rpc);

  async function* open(
    address: string,
    attempt: AttemptRequest,
    signal: AbortSignal,
    isStarted = false,
  ): AsyncGenerator<AnswerFrame> {
    const state: StreamState = { nextIndex: 0, isStarted, sendCount: 0 };
    let failures = 0;
    for (;;) {
      const before = state.nextIndex;
      try {
        yield* readOnce(address, attempt, state, signal);
        return;
      } catch (cause) {
        failures = state.nextIndex > before ? 1 : failures + 1;
        if (cause instanceof RouterError) throw cause;
        if (signal.aborted || failures > MAX_RESUME_TRIES)
          throw createDisconnectError(cause, state, address);
        // The connection may be dead, so the next try must use a new one.
        rpc.replaceConnections(address);
        await wait(RESUME_BACKOFF_MS * failures);
      }
    }
  }

  const callAttemptEnd = async (
    method: 'attempt.refuse' | 'attempt.cancel',
    address: string,
    name: AttemptName,
  ): Promise<AttemptEnd> => {
    const answer = await rpc.call<AttemptEnd>(address, method, name);
    return answer.orDefault(UNKNOWN_END);
  };

  return {
    open,
    refuse: (address, name) => callAttemptEnd('attempt.refuse', address, name),
    cancel: (address, name) => callAttemptEnd('attempt.cancel', address, name),
    confirm: createConfirmationBatcher(rpc, wait),
  };
};
