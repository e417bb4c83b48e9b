import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { buildConnector, Client } from 'undici';
import type { ProcessState } from '../decisions';
import type { EndpointReport } from '../registry';
import type { RoutedService } from '../routing';
import { convertHeaders, isConnectionLoss } from './endpointAttempt';
import type { IdentityCodec, ProcessIdentity } from './types';

/** Size limit of a description, in bytes. */
const MAX_DESCRIPTION_BYTES = 256 * 1024;
/** Questions to a process that turns them away, and the pause between them in milliseconds. */
const MAX_QUESTIONS = 3;
const QUESTION_PAUSE_MS = 50;
const UNAVAILABLE = 503;

/**
 * Compares a process with the one that reported. An id may be used again by a later process, so the
 * start decides where it is known.
 */
export const compareProcess = (
  { id, startedAt }: Pick<EndpointReport, 'id' | 'startedAt'>,
  found: ProcessIdentity,
): ProcessState => {
  const isOtherId = found.id !== undefined && found.id !== id;
  const isOtherStart = found.startedAt !== undefined && found.startedAt !== startedAt;
  if (found.isOther || isOtherId || isOtherStart) return 'replaced';
  return found.id === undefined && found.startedAt === undefined ? 'unknown' : 'same';
};

const readDescription = async (body: AsyncIterable<Buffer>): Promise<string> => {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of body) {
    size += chunk.length;
    if (size > MAX_DESCRIPTION_BYTES) {
      throw new Error(`the description has more than ${MAX_DESCRIPTION_BYTES} bytes`);
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
};

const readCode = (cause: unknown): unknown => (cause as { readonly code?: unknown }).code;

/** Result of a question about a process, with the reason if it was not answered. */
export interface ProcessAnswer {
  readonly state: ProcessState;
  readonly reason: string | undefined;
}

interface QuestionResult extends ProcessAnswer {
  /** Whether the process turned the question away, so that it may answer a later one. */
  readonly isTurnedAway: boolean;
}

const fetchDescription = async (
  codec: IdentityCodec,
  endpoint: EndpointReport,
  service: RoutedService | undefined,
  timeoutMs: number,
): Promise<QuestionResult> => {
  const client = new Client(`http://${endpoint.address}`, {
    connect: buildConnector({ timeout: timeoutMs }),
  });
  try {
    const { path, headers } = codec.encodeQuestion(endpoint.id, service);
    const response = await client.request({
      method: 'GET',
      path,
      headers: [...headers],
      responseHeaders: 'raw',
      signal: AbortSignal.timeout(timeoutMs),
    });
    const { statusCode } = response;
    const text = await readDescription(response.body);
    const found = codec.decodeIdentity(statusCode, convertHeaders(response.headers), text);
    const reason = statusCode === 200 ? undefined : `it responded with status ${statusCode}`;
    const isTurnedAway = statusCode === UNAVAILABLE;
    return { state: compareProcess(endpoint, found), reason, isTurnedAway };
  } catch (cause) {
    const state = readCode(cause) === 'ECONNREFUSED' ? 'gone' : 'unknown';
    return { state, reason: (cause as Error).message, isTurnedAway: isConnectionLoss(cause) };
  } finally {
    await client.destroy();
  }
};

/**
 * Asks the process at an endpoint's address, on a new connection, whether it is the one that
 * reported. A process that has just ended may still accept and reset connections, and a full one
 * turns questions away, so both are asked again. Never fails; `timeoutMs` is the limit for all
 * questions together.
 */
export const fetchProcessState = async (
  codec: IdentityCodec,
  endpoint: EndpointReport,
  service: RoutedService | undefined,
  timeoutMs: number,
): Promise<ProcessAnswer> => {
  const endAt = performance.now() + timeoutMs;
  for (let questions = 1; ; questions += 1) {
    const leftMs = Math.max(1, Math.ceil(endAt - performance.now()));
    const { state, reason, isTurnedAway } = await fetchDescription(
      codec,
      endpoint,
      service,
      leftMs,
    );
    const isLast = questions === MAX_QUESTIONS || performance.now() + QUESTION_PAUSE_MS >= endAt;
    if (state !== 'unknown' || !isTurnedAway || isLast) return { state, reason };
    await sleep(QUESTION_PAUSE_MS);
  }
};
