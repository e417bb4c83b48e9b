import { Left, Right } from 'purify-ts';
import { Client } from 'undici';
import type { AnswerHeaders, AttemptTarget, EndpointAttempt, RawHeaders } from './types';

/** Keep-alive of a connection that serves one request; it ends as soon as its answer is in. */
const CONNECTION_IDLE_MS = 1;
/** Longest head of an endpoint's answer, in bytes. */
const HEAD_LIMIT_BYTES = 32 * 1024;

const readMessage = (cause: unknown): string =>
  cause instanceof Error ? cause.message || cause.name : String(cause);

const convertHeaders = (headers: unknown): RawHeaders =>
  (headers as readonly (string | Buffer)[]).map((item) => item.toString('latin1'));

/**
 * Starts one attempt on a connection of its own. A kept connection may have been closed by the
 * endpoint, have gone silent or hold a late answer to another request; whether a request was run
 * could then not be told, so connections are not reused.
 */
export const startEndpointAttempt = (
  target: AttemptTarget,
  decodeAnswer: (status: number, raw: RawHeaders) => AnswerHeaders,
): EndpointAttempt => {
  const client = new Client(`http://${target.endpoint.address}`, {
    pipelining: 1,
    connect: { timeout: target.connectTimeoutMs, keepAlive: true, noDelay: true },
    headersTimeout: 0,
    bodyTimeout: 0,
    keepAliveTimeout: CONNECTION_IDLE_MS,
    maxHeaderSize: HEAD_LIMIT_BYTES,
  });
  let isConnected = false;
  let isCancelled = false;
  client.on('connect', () => {
    isConnected = true;
  });

  const cancel = (): void => {
    if (isCancelled) return;
    isCancelled = true;
    // The reason is the caller's, which knows why it cancels.
    client.destroy().catch(() => {});
  };

  const response = client.request({
    method: target.method,
    path: target.path,
    headers: [...target.headers],
    body: target.body.length > 0 ? target.body : null,
    responseHeaders: 'raw',
  });

  const head: EndpointAttempt['head'] = response.then(
    ({ statusCode, headers }) =>
      Right({ status: statusCode, ...decodeAnswer(statusCode, convertHeaders(headers)) }),
    (cause: unknown) => {
      cancel();
      return Left({ mayHaveRun: isConnected, reason: readMessage(cause) });
    },
  );

  async function* readBody(): AsyncGenerator<Buffer> {
    const { body } = await response;
    try {
      for await (const chunk of body) yield chunk as Buffer;
    } finally {
      cancel();
    }
  }

  return { head, readBody, cancel };
};
