import { request } from 'undici';
import { KEYS, SERVICE, type OrganisationName } from './inventory';

/** The kinds of request that a caller sends. */
export type RequestKind = 'plain' | 'stream' | 'deferred' | 'service';

/** Options of a call to an entry. */
export interface CallOptions {
  readonly entry: string;
  readonly organisation: OrganisationName;
  readonly kind: RequestKind;
  /** Text of the request. It also identifies the request in the stand-in's record. */
  readonly text: string;
  readonly model?: string;
  readonly task?: string;
  readonly tokens?: number;
  readonly key?: string;
  readonly session?: string;
  readonly wantsUsage?: boolean;
  readonly method?: 'GET' | 'POST';
  readonly timeoutMs?: number;
}

/** The response that the caller received. */
export interface CallAnswer {
  readonly status: number;
  readonly body: string;
  readonly requestId: string;
  readonly model: string;
  readonly version: string;
}

const TIMEOUT_MS = 30_000;

const formatChatBody = (options: CallOptions): string =>
  JSON.stringify({
    model: options.model ?? 'auto',
    messages: [{ role: 'user', content: options.text }],
    ...(options.kind === 'stream' ? { stream: true } : {}),
    ...(options.wantsUsage === true ? { stream_options: { include_usage: true } } : {}),
    ...(options.tokens === undefined ? {} : { max_tokens: options.tokens }),
    metadata: { ...(options.task === undefined ? {} : { task: options.task }) },
  });

const createHeaders = (options: CallOptions): Record<string, string> => ({
  authorization: `Bearer ${KEYS[options.organisation]}`,
  'content-type': options.kind === 'service' ? 'text/plain' : 'application/json',
  ...(options.key === undefined ? {} : { 'idempotency-key': options.key }),
  ...(options.session === undefined ? {} : { 'x-session-id': options.session }),
  ...(options.kind === 'deferred' ? { prefer: 'respond-async' } : {}),
});

/** Sends a request and reads the whole response. Throws if the connection breaks. */
export const callEntry = async (options: CallOptions): Promise<CallAnswer> => {
  const { kind, method = 'POST' } = options;
  const isService = kind === 'service';
  const path = isService
    ? `/v1/services/${SERVICE}/orders?text=${encodeURIComponent(options.text)}`
    : '/v1/chat/completions';
  const body = isService ? options.text : formatChatBody(options);
  const response = await request(`http://${options.entry}${path}`, {
    method,
    headers: createHeaders(options),
    body: method === 'GET' ? undefined : body,
    signal: AbortSignal.timeout(options.timeoutMs ?? TIMEOUT_MS),
  });
  return {
    status: response.statusCode,
    body: await response.body.text(),
    requestId: String(response.headers['x-request-id'] ?? ''),
    model: String(response.headers['x-oleanderfront-model'] ?? ''),
    version: String(response.headers['x-oleanderfront-version'] ?? ''),
  };
};

/** Fetches the state of a deferred request through the public API. */
export const fetchDeferred = async (
  entry: string,
  organisation: OrganisationName,
  requestId: string,
): Promise<{ readonly status: string; readonly response?: { readonly body: string } }> => {
  const response = await request(`http://${entry}/v1/requests/${requestId}`, {
    headers: { authorization: `Bearer ${KEYS[organisation]}` },
    signal: AbortSignal.timeout(TIMEOUT_MS),
  });
  return (await response.body.json()) as never;
};
