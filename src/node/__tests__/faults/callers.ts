import { setTimeout as sleep } from 'node:timers/promises';
import {
  callEntry,
  fetchDeferred,
  type CallAnswer,
  type CallOptions,
  type Cluster,
} from '../cluster';
import type { CallRecord, CallResult, ReportedOutcome } from '../history';
import { LOAD_MS, type Draws } from './schedule';

/** Callers that send the load and record every call. */
export interface Callers {
  /** Sends the load and waits until every call has ended. */
  readonly run: () => Promise<void>;
  /** Waits until every deferred request has ended. */
  readonly waitForDeferred: () => Promise<void>;
  readonly listCalls: () => readonly CallRecord[];
}

type RequestShape = Omit<CallOptions, 'entry' | 'organisation' | 'text'> & {
  readonly isIdempotent: boolean;
};

const CALLS_PER_SECOND = 30;
const SESSIONS = 4;
const CALL_TIMEOUT_MS = 8_000;
const RETRIES = 2;
const RETRY_DELAY_MS = 300;
const DEFERRED_TIMEOUT_MS = 20_000;
const POLL_MS = 250;
const SECOND_MS = 1_000;

// A repeated kind has a higher weight. The mix follows ordinary traffic, with a larger share of
// non-idempotent requests.
const SHAPES: readonly ((operation: string, draws: Draws) => RequestShape)[] = [
  () => ({ kind: 'plain', isIdempotent: true }),
  () => ({ kind: 'plain', isIdempotent: true, model: 'small' }),
  () => ({ kind: 'stream', isIdempotent: true, tokens: 30 }),
  () => ({ kind: 'stream', isIdempotent: true, tokens: 100 }),
  () => ({ kind: 'deferred', isIdempotent: true }),
  () => ({ kind: 'service', isIdempotent: true, method: 'GET' }),
  (operation) => ({ kind: 'service', isIdempotent: false, key: `key-${operation}` }),
  () => ({ kind: 'service', isIdempotent: false }),
  (operation) => ({ kind: 'plain', isIdempotent: false, task: 'deposit', key: `key-${operation}` }),
  (_operation, draws) => ({
    kind: 'plain',
    isIdempotent: true,
    model: 'small',
    session: `session-${draws.readInteger(SESSIONS)}`,
  }),
];

interface WireError {
  readonly error?: {
    readonly type: string;
    readonly outcome: ReportedOutcome;
    readonly request_id: string;
  };
}

const parseError = (text: string): WireError['error'] => {
  try {
    return (JSON.parse(text) as WireError).error;
  } catch {
    return undefined;
  }
};

const ERROR_EVENT = 'event: error\ndata: ';
const LAST_EVENT = 'data: [DONE]\n\n';

const convertAnswer = (shape: RequestShape, answer: CallAnswer): CallResult => {
  const { body } = answer;
  const errorAt = body.indexOf(ERROR_EVENT);
  const errorText = errorAt >= 0 ? body.slice(errorAt + ERROR_EVENT.length) : body;
  const error = answer.status >= 400 || errorAt >= 0 ? parseError(errorText.trim()) : undefined;
  if (error) return { type: 'failed', errorType: error.type, outcome: error.outcome };
  if (answer.status >= 400) return { type: 'cut', reason: `status ${answer.status}: ${body}` };
  const isComplete = shape.kind !== 'stream' || body.endsWith(LAST_EVENT);
  return isComplete ? { type: 'answered', body } : { type: 'cut', reason: 'no terminal event' };
};

const canRetry = (shape: RequestShape, result: CallResult): boolean => {
  if (result.type === 'answered') return false;
  return shape.key !== undefined;
};

interface Deferred {
  readonly call: CallRecord;
}

/** Creates the callers of one schedule run. */
export const createCallers = (cluster: Cluster, draws: Draws): Callers => {
  const calls: CallRecord[] = [];
  const deferred: Deferred[] = [];
  const { entries } = cluster;

  const callOnce = async (
    operation: string,
    organisation: 'yard' | 'rack',
    shape: RequestShape,
    entry: string,
  ): Promise<CallResult> => {
    const startedAt = Date.now();
    let requestId = '';
    let result: CallResult;
    try {
      const common = { entry, organisation, text: operation, timeoutMs: CALL_TIMEOUT_MS };
      const answer = await callEntry({ ...shape, ...common });
      const errorText = answer.status >= 400 ? answer.body : '';
      requestId = answer.requestId || (parseError(errorText)?.request_id ?? '');
      result = convertAnswer(shape, answer);
    } catch (cause) {
      result = { type: 'cut', reason: (cause as Error).message };
    }
    const { kind, isIdempotent, session } = shape;
    const call: CallRecord = {
      operation,
      requestId,
      organisation,
      kind,
      isIdempotent,
      session,
      entry,
      startedAt,
      endedAt: Date.now(),
      result,
    };
    const isAccepted = kind === 'deferred' && result.type === 'answered';
    if (isAccepted) deferred.push({ call });
    else calls.push(call);
    return result;
  };

  const runOperation = async (index: number): Promise<void> => {
    const operation = `op-${index}-end`;
    const shape = draws.choose(SHAPES)(operation, draws);
    const isYard = shape.kind === 'service' || draws.readInteger(2) === 0;
    const first = draws.readInteger(entries.length);
    for (let attempt = 0; attempt <= RETRIES; attempt += 1) {
      const entry = entries[(first + attempt) % entries.length]!;
      const result = await callOnce(operation, isYard ? 'yard' : 'rack', shape, entry);
      if (!canRetry(shape, result)) return;
      await sleep(RETRY_DELAY_MS);
    }
  };

  const run = async (): Promise<void> => {
    const open: Promise<void>[] = [];
    const total = (CALLS_PER_SECOND * LOAD_MS) / SECOND_MS;
    for (let index = 0; index < total; index += 1) {
      open.push(runOperation(index));
      await sleep(SECOND_MS / CALLS_PER_SECOND);
    }
    await Promise.all(open);
  };

  const fetchDeferredResult = async (call: CallRecord): Promise<CallResult> => {
    const deadline = Date.now() + DEFERRED_TIMEOUT_MS;
    let last = 'never read';
    while (Date.now() < deadline) {
      for (const entry of entries) {
        const read = await fetchDeferred(entry, call.organisation, call.requestId).catch(
          () => undefined,
        );
        last = read?.status ?? last;
        if (read?.status === 'done' && read.response) {
          return { type: 'answered', body: read.response.body };
        }
        if (last === 'failed' || last === 'unknown') {
          return { type: 'failed', errorType: last, outcome: 'unknown' };
        }
        if (last === 'not_run') return { type: 'failed', errorType: last, outcome: 'not_run' };
      }
      await sleep(POLL_MS);
    }
    return { type: 'cut', reason: `still ${last}` };
  };

  const waitForDeferred = async (): Promise<void> => {
    await Promise.all(
      deferred.map(async ({ call }) => {
        const result = await fetchDeferredResult(call);
        calls.push({ ...call, endedAt: Date.now(), result });
      }),
    );
  };

  return { run, waitForDeferred, listCalls: () => calls };
};
