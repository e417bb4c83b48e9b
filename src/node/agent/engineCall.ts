import { createParser, type EventSourceMessage } from 'eventsource-parser';
import { z } from 'zod';
import type { Dispatcher, Pool } from 'undici';
import type { ForwardedHeaders } from '../shared';
import type { Attempt } from './attempt';
import { createEngineBody } from './engineBody';

/** Token counts of a call, updated while it runs. */
export interface MutableTokenCounts {
  inputTokens: number;
  outputTokens: number;
}

/** Connections to an endpoint, and the token counts of one call to it. */
export interface EngineTarget {
  readonly pool: Pool;
  readonly counts: MutableTokenCounts;
}

/** Runs a started attempt on its engine or plain service. */
export type EngineCall = (target: EngineTarget, attempt: Attempt) => Promise<void>;

const chunkSchema = z.object({
  choices: z.array(z.unknown()).optional(),
  usage: z
    .object({ prompt_tokens: z.number().int().min(0), completion_tokens: z.number().int().min(0) })
    .nullish(),
});

const choiceSchema = z.object({ delta: z.object({ content: z.string().nullish() }) });

interface ParsedChunk {
  readonly isOnlyUsage: boolean;
  readonly hasContent: boolean;
  readonly usage?: MutableTokenCounts;
}

const EMPTY_CHUNK: ParsedChunk = { isOnlyUsage: false, hasContent: false };

const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
};

const parseChunk = (text: string): ParsedChunk => {
  const parsed = chunkSchema.safeParse(parseJson(text));
  if (!parsed.success) return EMPTY_CHUNK;
  const choices = parsed.data.choices ?? [];
  const choice = choiceSchema.safeParse(choices[0]);
  const hasContent = choice.success && (choice.data.delta.content ?? '') !== '';
  const { usage } = parsed.data;
  if (!usage) return { isOnlyUsage: false, hasContent };
  const { prompt_tokens: inputTokens, completion_tokens: outputTokens } = usage;
  const isOnlyUsage = choices.length === 0;
  return { isOnlyUsage, hasContent, usage: { inputTokens, outputTokens } };
};

const updateCounts = (target: EngineTarget, chunk: ParsedChunk): void => {
  const { counts } = target;
  if (chunk.usage) Object.assign(counts, chunk.usage);
  else if (chunk.hasContent) counts.outputTokens += 1;
};

/** Data of the last event of a stream. */
const END_OF_STREAM = '[DONE]';

const encodeData = (text: string): string => Buffer.from(text).toString('base64');

/** Bounds the memory for an engine that sends bytes without the end of an event. */
const MAX_EVENT_BYTES = 1_048_576;

// Parses the event stream to read the usage chunk, and drops it unless the caller wants it. Events
// that arrive together share a frame: an agent that falls behind then has less work for each event,
// so that new attempts do not wait behind the frames of running ones.
const relayEvents = async (
  target: EngineTarget,
  attempt: Attempt,
  chunks: AsyncIterable<Buffer>,
  wantsUsage: boolean,
): Promise<void> => {
  let texts: string[] = [];
  let hasEnded = false;
  let pendingBytes = 0;
  const handleEvent = (event: EventSourceMessage): void => {
    pendingBytes = 0;
    if (event.data === END_OF_STREAM) hasEnded = true;
    const chunk = parseChunk(event.data);
    updateCounts(target, chunk);
    if (chunk.isOnlyUsage && !wantsUsage) return;
    const name = event.event ? `event: ${event.event}\n` : '';
    const lines = event.data.split('\n').map((line) => `data: ${line}\n`);
    texts.push(`${name}${lines.join('')}\n`);
  };
  const handleComment = (): void => {
    pendingBytes = 0;
  };
  const parser = createParser({ onEvent: handleEvent, onComment: handleComment });
  const decoder = new TextDecoder();
  for await (const chunk of chunks) {
    pendingBytes += chunk.length;
    if (pendingBytes > MAX_EVENT_BYTES) {
      throw new Error(`an event of the engine has more than ${MAX_EVENT_BYTES} bytes`);
    }
    parser.feed(decoder.decode(chunk, { stream: true }));
    if (texts.length > 0) attempt.append({ type: 'data', data: encodeData(texts.join('')) });
    texts = [];
    await attempt.waitForBufferSpace();
  }
  if (!hasEnded) throw new Error(`the engine's stream ended without 'data: ${END_OF_STREAM}'`);
};

const MAX_USAGE_SCAN_BYTES = 8_388_608;

const relayBody = async (
  target: EngineTarget,
  attempt: Attempt,
  chunks: AsyncIterable<Buffer>,
  isCloseDelimited: boolean,
): Promise<void> => {
  const isModel = attempt.request.target.kind === 'model';
  const parts: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of chunks) {
    bytes += chunk.length;
    if (isModel && bytes <= MAX_USAGE_SCAN_BYTES) parts.push(chunk);
    attempt.append({ type: 'data', data: chunk.toString('base64') });
    await attempt.waitForBufferSpace();
  }
  if (!isModel) return;
  const text = Buffer.concat(parts).toString('utf8');
  // Only the text itself shows whether a body without a length or chunks is whole.
  if (isCloseDelimited && bytes <= MAX_USAGE_SCAN_BYTES && parseJson(text) === undefined) {
    throw new Error(`the engine's close-delimited body of ${bytes} bytes is not a whole JSON text`);
  }
  updateCounts(target, parseChunk(text));
};

const UNFORWARDED_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'content-length',
  'keep-alive',
  'proxy-authenticate',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'date',
]);

const readForwardedHeaders = (
  headers: Readonly<Record<string, string | string[] | undefined>>,
): ForwardedHeaders =>
  Object.fromEntries(
    Object.entries(headers).flatMap(([name, value]) =>
      value === undefined || UNFORWARDED_HEADERS.has(name) ? [] : [[name, value] as const],
    ),
  );

interface EngineRequest {
  readonly body: Buffer;
  readonly isStream: boolean;
  readonly wantsUsage: boolean;
  readonly inputTokens: number;
}

const createEngineRequest = (attempt: Attempt): EngineRequest => {
  const { target, body } = attempt.request;
  const bytes = Buffer.from(body, 'base64');
  if (target.kind === 'model') return createEngineBody(bytes, `${target.model}@${target.version}`);
  return { body: bytes, isStream: false, wantsUsage: false, inputTokens: 0 };
};

const isCloseDelimitedBody = ({ headers }: Dispatcher.ResponseData): boolean =>
  headers['content-length'] === undefined &&
  !/chunked\s*$/i.test(String(headers['transfer-encoding'] ?? ''));

const convertHeaders = (headers: ForwardedHeaders): Record<string, string | string[]> =>
  Object.fromEntries(
    Object.entries(headers).map(([name, value]) => [
      name,
      typeof value === 'string' ? value : [...value],
    ]),
  );

const MIN_ERROR_STATUS = 400;

const appendHead = (attempt: Attempt, response: Dispatcher.ResponseData): string => {
  const { statusCode: status, headers } = response;
  const contentType = String(headers['content-type'] ?? 'application/octet-stream');
  const isService = attempt.request.target.kind === 'service';
  const forwarded = isService ? { headers: readForwardedHeaders(headers) } : {};
  attempt.append({ type: 'head', status, contentType, ...forwarded });
  return contentType;
};

/** Sends a started attempt to the engine and appends the answer's frames as they arrive. */
export const callEngine: EngineCall = async (target, attempt) => {
  const { request, abort } = attempt;
  const engineRequest = createEngineRequest(attempt);
  const { counts } = target;
  // Prefill runs before the answer, so a cancelled call has used the prompt tokens.
  counts.inputTokens = engineRequest.inputTokens;
  const response = await target.pool.request({
    method: request.method,
    path: request.path,
    headers: {
      ...convertHeaders(request.headers),
      'x-request-id': request.requestId,
      'x-attempt': String(request.attempt),
    },
    body: engineRequest.body.length > 0 ? engineRequest.body : undefined,
    signal: abort.signal,
    // A kept connection may carry a late second answer, which would be taken for the next one.
    reset: true,
    headersTimeout: request.deadlineMs,
    bodyTimeout: request.deadlineMs,
  });
  if (response.statusCode >= MIN_ERROR_STATUS) counts.inputTokens = 0;
  const contentType = appendHead(attempt, response);
  const isEvents = engineRequest.isStream && contentType.startsWith('text/event-stream');
  if (isEvents) await relayEvents(target, attempt, response.body, engineRequest.wantsUsage);
  else await relayBody(target, attempt, response.body, isCloseDelimitedBody(response));
  if (abort.signal.aborted) throw new Error('the attempt was cancelled');
  attempt.append({ type: 'end', ...counts });
};
