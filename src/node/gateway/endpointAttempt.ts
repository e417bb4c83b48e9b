import { performance } from 'node:perf_hooks';
import { Left, Right } from 'purify-ts';
import { buildConnector, Client } from 'undici';
import { registerResetListener } from '../shared';
import type { ResponseHeaders, AttemptTarget, EndpointAttempt, RawHeaders } from './types';

/**
 * Keep-alive time of a connection. It serves one request, so it is closed as soon as the response
 * is complete.
 */
const CONNECTION_IDLE_MS = 1;
/**
 * A connection that opens later than this many connect timeouts is not used. After a pause of the
 * process its event may precede that of the timeout, while the lease under which the endpoint was
 * chosen has run out. Twice the 400 ms of the gateway is less than the second that a lease leaves of
 * a bound of 5 s; once would reject connections that a busy event loop notices late.
 */
const MAX_CONNECT_TIMEOUTS = 2;
/** Maximum size of an endpoint's response head, in bytes. */
const HEAD_LIMIT_BYTES = 32 * 1024;

/**
 * Bytes from an endpoint that may arrive without becoming part of a head or body: interim responses
 * and chunk framing. The allowance per body byte covers chunks of one byte.
 */
const MAX_OVERHEAD_BYTES = 1024 * 1024;
const MAX_OVERHEAD_PER_BODY_BYTE = 16;

const readMessage = (cause: unknown): string =>
  cause instanceof Error ? cause.message || cause.name : String(cause);

/** Error codes of a connection that the endpoint closed or reset. */
const CONNECTION_LOSS_CODES: ReadonlySet<unknown> = new Set([
  'UND_ERR_SOCKET',
  'ECONNRESET',
  'EPIPE',
]);

/** Whether an attempt failed because the endpoint closed or reset the connection. */
export const isConnectionLoss = (cause: unknown): boolean =>
  CONNECTION_LOSS_CODES.has((cause as { readonly code?: unknown } | undefined)?.code);

const createResetError = (): Error =>
  Object.assign(new Error('the endpoint reset the connection'), { code: 'ECONNRESET' });

/** Converts raw headers of the HTTP client to text. */
export const convertHeaders = (headers: unknown): RawHeaders =>
  (headers as readonly (string | Buffer)[]).map((item) => item.toString('latin1'));

/**
 * Starts one attempt on a new connection. Connections are not reused: the endpoint may have closed
 * a kept-alive connection, it may be dead, or it may hold a late response to another request. The
 * gateway could then not tell whether the endpoint has run the request.
 */
export const startEndpointAttempt = (
  target: AttemptTarget,
  decodeAnswer: (status: number, raw: RawHeaders) => ResponseHeaders,
): EndpointAttempt => {
  let isConnected = false;
  let isWithheld = false;
  let isReset = false;
  let isCloseDelimited = false;
  let isCancelled = false;
  let bodyBytes = 0;
  let limitFailure: Error | undefined;
  const startedAt = performance.now();
  const isLate = (): boolean =>
    performance.now() - startedAt > MAX_CONNECT_TIMEOUTS * target.connectTimeoutMs;
  // A connection that is closed in both directions would look like a reset one.
  const connect = buildConnector({ timeout: target.connectTimeoutMs, allowHalfOpen: true });
  const client = new Client(`http://${target.endpoint.address}`, {
    pipelining: 1,
    connect: (options, callback) =>
      connect(options, (...[failure, socket]) => {
        if (socket) {
          registerResetListener(socket, () => {
            isReset = true;
          });
        }
        // Without a head or body bytes, the client would read and discard such bytes for ever.
        socket?.on('readable', () => {
          const overhead = socket.bytesRead - bodyBytes;
          if (overhead <= MAX_OVERHEAD_BYTES + MAX_OVERHEAD_PER_BODY_BYTE * bodyBytes) return;
          limitFailure = new Error(
            `the endpoint sent ${socket.bytesRead} bytes with ${bodyBytes} bytes of a body`,
          );
          socket.destroy(limitFailure);
        });
        if (socket && target.isPauseChecked && isLate()) {
          isWithheld = true;
          socket.destroy();
          callback(new Error('the connection opened too late after a pause'), null);
          return;
        }
        // This process may have been paused since it decided to send.
        if (socket && target.canSend?.() === false) {
          isWithheld = true;
          socket.destroy();
          callback(new Error('the permit to send ran out before the connection was made'), null);
        } else if (socket) callback(null, socket);
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
    // A failure to close is ignored: the function that cancels has already recorded its reason.
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
    ({ statusCode, headers }) => {
      const answer = decodeAnswer(statusCode, convertHeaders(headers));
      ({ isCloseDelimited } = answer);
      return Right({ status: statusCode, ...answer });
    },
    (cause: unknown) => {
      cancel();
      const failure = limitFailure ?? cause;
      return Left({
        mayHaveRun: isConnected,
        isConnectionLost: isConnected && isConnectionLoss(failure),
        isWithheld,
        reason: readMessage(failure),
      });
    },
  );

  async function* readBody(): AsyncGenerator<Buffer> {
    const { body } = await response;
    try {
      for await (const chunk of body) {
        bodyBytes += (chunk as Buffer).length;
        yield chunk as Buffer;
      }
      // A length or the last chunk shows the end, whatever happens to the connection after it.
      if (isReset && isCloseDelimited) throw createResetError();
    } catch (cause) {
      throw limitFailure ?? cause;
    } finally {
      cancel();
    }
  }

  return { head, readBody, cancel };
};
