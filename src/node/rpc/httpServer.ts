import type { Socket } from 'node:net';
import fastify, { type FastifyInstance, type FastifyReply, type FastifyRequest } from 'fastify';
import { randomUUID } from 'node:crypto';
import { createError, ERROR_STATUS, formatErrorBody, RouterError, type ErrorType } from '../errors';

/** An IP address and port to listen on; port 0 takes a free one. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** PEM texts of a port that speaks TLS. */
export interface TlsCredentials {
  readonly key: string;
  readonly cert: string;
}

/** Limits of one HTTP port. */
export interface HttpServerOptions {
  readonly bodyLimitBytes?: number;
  readonly requestTimeoutMs?: number;
  readonly tls?: TlsCredentials;
  readonly createRequestId?: () => string;
}

const BODY_LIMIT_BYTES = 4 * 1024 * 1024;
const REQUEST_TIMEOUT_MS = 10_000;
const CLOSE_IDLE_INTERVAL_MS = 50;
const HEADER_LIMIT_BYTES = 16 * 1024;

// By default Node looks for slow senders every 30 seconds only, and takes the longer one of the two
// times for the whole request.
const resolveSocketLimits = (requestTimeoutMs: number) => ({
  maxHeaderSize: HEADER_LIMIT_BYTES,
  connectionsCheckingInterval: 1_000,
  headersTimeout: requestTimeoutMs,
});

const TYPE_BY_STATUS: Readonly<Record<number, ErrorType>> = {
  404: 'not_found',
  408: 'timeout',
  413: 'too_large',
};

const STATUS_BY_CODE: Readonly<Record<string, number>> = {
  ERR_HTTP_REQUEST_TIMEOUT: 408,
  HPE_HEADER_OVERFLOW: 431,
};

const REASONS: Readonly<Record<number, string>> = {
  400: 'Bad Request',
  408: 'Request Timeout',
  431: 'Request Header Fields Too Large',
};

// What is not HTTP never reaches a route, so the answer is written to the socket itself.
const replyToClientError = (failure: { readonly code?: string }, socket: Socket): void => {
  if (!socket.writable) {
    socket.destroy();
    return;
  }
  const status = STATUS_BY_CODE[failure.code ?? ''] ?? 400;
  const type = TYPE_BY_STATUS[status] ?? 'invalid_request';
  const message = `the message could not be read: ${failure.code ?? 'not HTTP'}`;
  const error = createError({ type, message, step: 'http.receive' });
  const body = JSON.stringify(formatErrorBody(error, randomUUID()));
  const lines = [
    `HTTP/1.1 ${status} ${REASONS[status]}`,
    'content-type: application/json',
    `content-length: ${Buffer.byteLength(body)}`,
    'connection: close',
  ];
  socket.end(`${lines.join('\r\n')}\r\n\r\n${body}`);
};

interface FastifyFailure {
  readonly statusCode?: number;
  readonly message: string;
}

const convertFailure = (failure: FastifyFailure): RouterError => {
  if (failure instanceof RouterError) return failure;
  const status = failure.statusCode ?? 500;
  const fallback: ErrorType = status < 500 ? 'invalid_request' : 'internal';
  return createError({
    type: TYPE_BY_STATUS[status] ?? fallback,
    message: failure.message,
    step: 'http.receive',
    outcome: status < 500 ? 'not_run' : 'unknown',
  });
};

// A connection that was busy when the close began would else stay open until its keep-alive ends.
const registerIdleClosing = (app: FastifyInstance): void => {
  app.addHook('preClose', async () => {
    const timer = setInterval(() => app.server.closeIdleConnections(), CLOSE_IDLE_INTERVAL_MS);
    app.server.once('close', () => clearInterval(timer));
  });
};

const errorsByRequest = new WeakMap<FastifyRequest, RouterError>();

/** Finds the error with which a request was answered, if it was. */
export const findError = (request: FastifyRequest): RouterError | undefined =>
  errorsByRequest.get(request);

/** Creates an HTTP server that answers every error in the wire form. */
export const createHttpServer = (options: HttpServerOptions = {}): FastifyInstance => {
  const requestTimeout = options.requestTimeoutMs ?? REQUEST_TIMEOUT_MS;
  const socketLimits = resolveSocketLimits(requestTimeout);
  const app = fastify({
    bodyLimit: options.bodyLimitBytes ?? BODY_LIMIT_BYTES,
    requestTimeout,
    genReqId: options.createRequestId ?? (() => randomUUID()),
    logger: false,
    clientErrorHandler: replyToClientError,
    frameworkErrors: (failure: FastifyFailure, request: FastifyRequest, reply: FastifyReply) => {
      const error = convertFailure(failure);
      reply.code(ERROR_STATUS[error.type]).send(formatErrorBody(error, request.id));
    },
    forceCloseConnections: 'idle',
    http: socketLimits,
    ...(options.tls ? { https: { ...options.tls, ...socketLimits } } : {}),
  } as Parameters<typeof fastify>[0]) as unknown as FastifyInstance;
  registerIdleClosing(app);
  app.setErrorHandler((failure, request, reply) => {
    const error = convertFailure(failure as FastifyFailure);
    errorsByRequest.set(request, error);
    if (error.retryAfterSeconds !== undefined) reply.header('retry-after', error.retryAfterSeconds);
    reply.header('x-request-id', request.id);
    return reply.code(ERROR_STATUS[error.type]).send(formatErrorBody(error, request.id));
  });
  app.setNotFoundHandler((request, reply) => {
    const message = `no route ${request.method} ${request.url}`;
    const error = createError({ type: 'not_found', message, step: 'http.route' });
    return reply.code(404).send(formatErrorBody(error, request.id));
  });
  return app;
};

/** Starts listening and gives the address in the form `host:port`. */
export const startHttpServer = async (
  app: FastifyInstance,
  listen: ListenAddress,
): Promise<string> => {
  await app.listen({ host: listen.host, port: listen.port });
  const bound = app.server.address();
  const port = typeof bound === 'object' && bound ? bound.port : listen.port;
  return `${listen.host}:${port}`;
};
