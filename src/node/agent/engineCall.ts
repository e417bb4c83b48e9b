import { createParser, type EventSourceMessage } from 'eventsource-parser';
import { z } from 'zod';
import { Pool } from 'undici';
import type { Attempt } from './attempt';

/** Where and how the agent reaches what it guards. */
export interface EngineTarget {
  readonly pool: Pool;
}

const usageChunk = z.object({
  choices: z.array(z.unknown()).optional(),
  usage: z
    .object({ prompt_tokens: z.number().int().min(0), completion_tokens: z.number().int().min(0) })
    .nullish(),
});

interface TokenCounts {
  readonly inputTokens: number;
  readonly outputTokens: number;
}

const NO_TOKENS: TokenCounts = { inputTokens: 0, outputTokens: 0 };

const readUsage = (
  text: string,
): { readonly isOnlyUsage: boolean; readonly counts?: TokenCounts } => {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    return { isOnlyUsage: false };
  }
  const parsed = usageChunk.safeParse(value);
  if (!parsed.success || !parsed.data.usage) return { isOnlyUsage: false };
  const { prompt_tokens: inputTokens, completion_tokens: outputTokens } = parsed.data.usage;
  const isOnlyUsage = parsed.data.choices?.length === 0;
  return { isOnlyUsage, counts: { inputTokens, outputTokens } };
};

interface ChatBody {
  readonly stream?: boolean;
  readonly stream_options?: { readonly include_usage?: boolean };
}

interface PreparedCall {
  readonly body: Buffer;
  readonly isStream: boolean;
  readonly wantsUsage: boolean;
}

const createCall = (attempt: Attempt): PreparedCall => {
  const { target, body } = attempt.request;
  const bytes = Buffer.from(body, 'base64');
  if (target.kind === 'service') return { body: bytes, isStream: false, wantsUsage: false };
  const chat = JSON.parse(bytes.toString('utf8')) as ChatBody;
  const isStream = chat.stream === true;
  const wantsUsage = chat.stream_options?.include_usage === true;
  const options = { ...chat.stream_options, include_usage: true };
  const sent = {
    ...chat,
    model: `${target.model}@${target.version}`,
    ...(isStream ? { stream_options: options } : {}),
  };
  return { body: Buffer.from(JSON.stringify(sent)), isStream, wantsUsage };
};

const encodeData = (text: string): string => Buffer.from(text).toString('base64');

// The event stream is parsed so that the usage chunk can be read, and dropped if not asked for.
const relayEvents = async (
  attempt: Attempt,
  chunks: AsyncIterable<Buffer>,
  wantsUsage: boolean,
): Promise<TokenCounts> => {
  let counts = NO_TOKENS;
  const handleEvent = (event: EventSourceMessage): void => {
    const usage = readUsage(event.data);
    counts = usage.counts ?? counts;
    if (usage.isOnlyUsage && !wantsUsage) return;
    const name = event.event ? `event: ${event.event}\n` : '';
    const lines = event.data.split('\n').map((line) => `data: ${line}\n`);
    attempt.append({ type: 'data', data: encodeData(`${name}${lines.join('')}\n`) });
  };
  const parser = createParser({ onEvent: handleEvent });
  const decoder = new TextDecoder();
  for await (const chunk of chunks) parser.feed(decoder.decode(chunk, { stream: true }));
  return counts;
};

const relayWhole = async (
  attempt: Attempt,
  chunks: AsyncIterable<Buffer>,
): Promise<TokenCounts> => {
  const parts: Buffer[] = [];
  for await (const chunk of chunks) {
    parts.push(chunk);
    attempt.append({ type: 'data', data: chunk.toString('base64') });
  }
  if (attempt.request.target.kind === 'service') return NO_TOKENS;
  return readUsage(Buffer.concat(parts).toString('utf8')).counts ?? NO_TOKENS;
};

/** Sends a started attempt to the engine and appends the answer's frames as they come. */
export const callEngine = async (target: EngineTarget, attempt: Attempt): Promise<void> => {
  const { request, abort } = attempt;
  const call = createCall(attempt);
  const hasBody = request.method !== 'GET' && request.method !== 'HEAD';
  const response = await target.pool.request({
    method: request.method,
    path: request.path,
    headers: {
      ...request.headers,
      'x-request-id': request.requestId,
      'x-attempt': String(request.attempt),
    },
    body: hasBody ? call.body : undefined,
    signal: abort.signal,
  });
  const contentType = String(response.headers['content-type'] ?? 'application/octet-stream');
  attempt.append({ type: 'head', status: response.statusCode, contentType });
  const isEvents = call.isStream && contentType.startsWith('text/event-stream');
  const counts = isEvents
    ? await relayEvents(attempt, response.body, call.wantsUsage)
    : await relayWhole(attempt, response.body);
  attempt.append({ type: 'end', ...counts });
};
