import { Left, Right } from 'purify-ts';
import { buildConnector, Client } from 'undici';
import type { ResponseHeaders, AttemptTarget, EndpointAttempt, RawHeaders } from './types';

/** Keep-alive of a connection that serves one request; it ends as soon as its answer is in. */
const CONNECTION_IDLE_MS = 1;
/** Longest head of an endpoint's answer, in bytes. */
const HEAD_LIMIT_BYTES = 32 * 1024;

const readMessage = (cause: unknown): string =>
  cause instanceof Error ? cause.message || cause.name : String(cause);

// What the client itself raises when it ends a connection names no system call.
const isSystemError = (cause: Error): boolean =>
  (cause as NodeJS.ErrnoException).syscall !== undefined;

const convertHeaders = (headers: unknown): RawHeaders =>
  (headers as readonly (string | Buffer)[]).map((item) => item.toString('latin1'));

/**
 * Starts one attempt on a connection of its own. A kept connection may have been closed by the
 * endpoint, have gone silent or hold a late answer to another request; whether a request was run
 * could then not be told, so connections are not reused.
 */
export const startEndpointAttempt = (
  target: AttemptTarget,
  decodeAnswer: (status: number, raw: RawHeaders) => ResponseHeaders,
): EndpointAttempt => {
  let isConnected = false;
  let isReset = false;
  let isCancelled = false;
  const connect = buildConnector({ timeout: target.connectTimeoutMs });
  const client = new Client(`http://${target.endpoint.address}`, {
    pipelining: 1,
    connect: (options, callback) =>
      connect(options, (...[failure, socket]) => {
        // The client takes a reset for the end of a body that has no length, so it is noted here.
        socket?.on('error', (cause) => {
          if (isSystemError(cause)) isReset = true;
        });
        if (socket) callback(null, socket);
        else callback(failure, null);
      }),
    headersTimeout: 0,
    bodyTimeout: 0,
    keepAliveTimeout: CONNECTION_IDLE_MS,
    maxHeaderSize: HEAD_LIMIT_BYTES,
  });
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
      if (isReset) throw new Error('the endpoint reset the connection');
    } finally {
      cancel();
    }
  }

  return { head, readBody, cancel };
};
