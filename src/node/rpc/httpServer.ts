import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { performance } from 'node:perf_hooks';
import fastify, { type FastifyInstance, type FastifyReply, type FastifyRequest } from 'fastify';
import { randomUUID } from 'node:crypto';
import { createError, ERROR_STATUS, formatErrorBody, RouterError, type ErrorType } from '../errors';
import { createClientErrorHandler, type FormatFailure } from './clientErrors';
import { registerConnectionDrain } from './connectionDrain';

/** An IP address and port to listen on; port 0 selects a free port. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** PEM-encoded key and certificate of a TLS port. */
export interface TlsCredentials {
  readonly key: string;
  readonly cert: string;
}

/** Options of an HTTP server. */
export interface HttpServerOptions {
  readonly bodyLimitBytes?: number;
  readonly requestTimeoutMs?: number;
  readonly tls?: TlsCredentials;
  readonly createRequestId?: () => string;
}

const BODY_LIMIT_BYTES = 4 * 1024 * 1024;
const REQUEST_TIMEOUT_MS = 10_000;
const CLOSE_IDLE_INTERVAL_MS = 50;
/** Time that a connection without a request gets after the close has started, in milliseconds. */
const UNUSED_GRACE_MS = 500;
/** Time that callers get to read a complete answer once the close has started, in milliseconds. */
const UNSENT_GRACE_MS = 10_000;
const HEADER_LIMIT_BYTES = 16 * 1024;

// By default Node checks for slow clients only every 30 seconds, and it applies the longer of the
// two timeouts to the whole request.
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

const formatClientFailure: FormatFailure = (status, code) => {
  const type = TYPE_BY_STATUS[status] ?? 'invalid_request';
  const message = `the request could not be parsed: ${code}`;
  const error = createError({ type, message, step: 'http.receive' });
  return JSON.stringify(formatErrorBody(error, randomUUID()));
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

// Without this, a connection that was busy when the close started stays open until its keep-alive
// timeout. Node does not count a connection as idle before its first request, but clients open
// connections in advance; such a connection gets some time, since its request may be on the way.
const registerIdleClosing = (app: FastifyInstance): void => {
  const drain = registerConnectionDrain(app.server);
  const unused = new Set<Socket>();
  app.server.on('connection', (socket: Socket) => {
    unused.add(socket);
    socket.once('close', () => unused.delete(socket));
  });
  app.server.on('request', ({ socket }: IncomingMessage) => unused.delete(socket));
  app.addHook('preClose', async () => {
    const startedAt = performance.now();
    const timer = setInterval(() => {
      app.server.closeIdleConnections();
      const now = performance.now();
      if (now - startedAt >= UNSENT_GRACE_MS) drain.resetUnsent(now - UNSENT_GRACE_MS);
      if (now - startedAt < UNUSED_GRACE_MS) return;
      // Bytes show that a request is arriving; the server's timeout bounds it.
      unused.forEach((socket) => {
        if (socket.bytesRead === 0) socket.destroy();
      });
    }, CLOSE_IDLE_INTERVAL_MS);
    app.server.once('close', () => clearInterval(timer));
  });
};

const errorsByRequest = new WeakMap<FastifyRequest, RouterError>();

/** Returns the error that a request was answered with, if any. */
export const findError = (request: FastifyRequest): RouterError | undefined =>
  errorsByRequest.get(request);

/** Creates an HTTP server that sends every error as a standard JSON error body. */
export const createHttpServer = (options: HttpServerOptions = {}): FastifyInstance => {
  const requestTimeout = options.requestTimeoutMs ?? REQUEST_TIMEOUT_MS;
  const socketLimits = resolveSocketLimits(requestTimeout);
  const clientErrors = createClientErrorHandler(formatClientFailure);
  const app = fastify({
    bodyLimit: options.bodyLimitBytes ?? BODY_LIMIT_BYTES,
    requestTimeout,
    genReqId: options.createRequestId ?? (() => randomUUID()),
    logger: false,
    clientErrorHandler: clientErrors.handle,
    frameworkErrors: (failure: FastifyFailure, request: FastifyRequest, reply: FastifyReply) => {
      const error = convertFailure(failure);
      reply.code(ERROR_STATUS[error.type]).send(formatErrorBody(error, request.id));
    },
    forceCloseConnections: 'idle',
    http: socketLimits,
    ...(options.tls ? { https: { ...options.tls, ...socketLimits } } : {}),
  } as Parameters<typeof fastify>[0]) as unknown as FastifyInstance;
  clientErrors.register(app.server);
  registerIdleClosing(app);
  app.setErrorHandler((failure, request, reply) => {
    const error = convertFailure(failure as FastifyFailure);
    errorsByRequest.set(request, error);
    if (error.retryAfterSeconds !== undefined) reply.header('retry-after', error.retryAfterSeconds);
    reply.header('x-request-id', request.id);
    return reply.code(ERROR_STATUS[error.type]).send(formatErrorBody(error, request.id));
  });
  app.setNotFoundHandler((request, reply) => {
    const message = `no route matches ${request.method} ${request.url}`;
    const error = createError({ type: 'not_found', message, step: 'http.route' });
    return reply.code(404).send(formatErrorBody(error, request.id));
  });
  return app;
};

/** Starts listening and returns the address in the form `host:port`. */
export const startHttpServer = async (
  app: FastifyInstance,
  listen: ListenAddress,
): Promise<string> => {
  await app.listen({ host: listen.host, port: listen.port });
  const bound = app.server.address();
  const port = typeof bound === 'object' && bound ? bound.port : listen.port;
  return `${listen.host}:${port}`;
};
