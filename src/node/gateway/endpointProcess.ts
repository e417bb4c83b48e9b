import { buildConnector, Client } from 'undici';
import type { ProcessState } from '../decisions';
import type { EndpointReport } from '../registry';
import type { RoutedService } from '../routing';
import { convertHeaders } from './endpointAttempt';
import type { IdentityCodec, ProcessIdentity } from './types';

/** Size limit of a description, in bytes. */
const MAX_DESCRIPTION_BYTES = 256 * 1024;

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
  if (isOtherId || isOtherStart) return 'replaced';
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

/**
 * Asks the process at an endpoint's address, on a new connection, whether it is the one that
 * reported. Never fails; `timeoutMs` is the limit for the connection and for the answer.
 */
export const fetchProcessState = async (
  codec: IdentityCodec,
  endpoint: EndpointReport,
  service: RoutedService | undefined,
  timeoutMs: number,
): Promise<ProcessAnswer> => {
  const client = new Client(`http://${endpoint.address}`, {
    connect: buildConnector({ timeout: timeoutMs }),
    headersTimeout: timeoutMs,
    bodyTimeout: timeoutMs,
  });
  try {
    const { path, headers } = codec.encodeQuestion(endpoint.id, service);
    const { headers: raw, body } = await client.request({
      method: 'GET',
      path,
      headers: [...headers],
      responseHeaders: 'raw',
    });
    const text = await readDescription(body);
    const found = codec.decodeIdentity(convertHeaders(raw), text);
    return { state: compareProcess(endpoint, found), reason: undefined };
  } catch (cause) {
    const state = readCode(cause) === 'ECONNREFUSED' ? 'gone' : 'unknown';
    return { state, reason: (cause as Error).message };
  } finally {
    await client.destroy();
  }
};
