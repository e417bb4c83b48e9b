import type { IncomingMessage, ServerResponse } from 'node:http';
import fastify, { type FastifyInstance, type FastifyReply, type FastifyRequest } from 'fastify';
import { canAdmitDuringShutdown } from '../decisions';
import { convertToRouterError } from '../errors';
import type { Logger } from '../log';
import { createClientErrorHandler, type ClientErrorHandler } from '../rpc';
import { admitRequest, type AdmissionRefusal } from './admitRequest';
import type { ByteBudget } from './byteBudget';
import { createCallerReply, type CallerReply } from './callerReply';
import type { ExchangeRunner } from './exchange';
import type { GatewayMetrics } from './gatewayMetrics';
import { readBody, type BodyFailure } from './readBody';
import { computeFingerprint } from './requestFingerprint';
import type { RoutingSnapshot } from './routingView';
import type { CallerHeaders, HeaderCodec } from './types';

/** Options of the server for callers. */
export interface CallerServerOptions {
  readonly codec: HeaderCodec;
  readonly runner: ExchangeRunner;
  /** Bounds the bodies that are held in memory. */
  readonly bodyBudget: ByteBudget;
  readonly metrics: GatewayMetrics;
  readonly log: Logger;
  readonly readSnapshot: () => RoutingSnapshot | undefined;
  /** Waits up to `timeoutMs` milliseconds for a routing snapshot with a valid lease. */
  readonly waitForSnapshot: (timeoutMs: number) => Promise<RoutingSnapshot | undefined>;
  /** Returns the milliseconds since the configuration was last confirmed. */
  readonly computeSnapshotAgeMs: () => number;
  /** Returns the milliseconds since the stop signal; undefined before it. */
  readonly computeSinceSignalMs: () => number | undefined;
  /** Milliseconds from the stop signal to the end of the process. */
  readonly graceMs: number;
  readonly readNow: () => number;
}

/**
 * Higher than any deployment's limit. That limit is checked later, from the current configuration.
 */
const HEAD_LIMIT_BYTES = 64 * 1024;
/** Timeouts for slow request heads and idle connections until a configuration is known. */
const DEFAULT_HEAD_TIMEOUT_MS = 10_000;
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;
/** How often Node checks connections for exceeded timeouts. */
const CONNECTION_CHECK_INTERVAL_MS = 500;
/** Short, because another gateway accepts the request at once. */
const STOPPING_RETRY_MS = 10;
/** A starting gateway receives its configuration within about a second. */
const MAX_CONFIG_WAIT_MS = 1_000;
/** Fraction of the caller's deadline that a request may wait for the configuration. */
const CONFIG_WAIT_DEADLINE_FRACTION = 0.1;
/** Bodies are held in memory until their requests end, most within this time. */
const NO_MEMORY_RETRY_MS = 300;

const BODY_REFUSALS: Readonly<Record<BodyFailure, AdmissionRefusal>> = {
  too_large: { status: 413, reason: 'the request body is too large' },
  broken: { status: 400, reason: 'the request body is incomplete' },
  no_memory: {
    status: 503,
    reason: 'the gateway has no memory left for the request body',
    retryAfterMs: NO_MEMORY_RETRY_MS,
  },
};

const computeConfigWaitMs = (deadlineMs: number | undefined): number =>
  Math.min(MAX_CONFIG_WAIT_MS, CONFIG_WAIT_DEADLINE_FRACTION * (deadlineMs ?? 0));

const countHeadBytes = (message: IncomingMessage): number =>
  message.rawHeaders.reduce((sum, item) => sum + item.length + 2, 0) +
  (message.method?.length ?? 0) +
  (message.url?.length ?? 0);

const createClientErrors = ({
  log,
  metrics,
}: Pick<CallerServerOptions, 'log' | 'metrics'>): ClientErrorHandler =>
  createClientErrorHandler((status, code) => {
    const reason = `the request could not be read: ${code}`;
    log.info({ status, reason }, 'request not admitted');
    metrics.requests.inc({ route: '', end: `status_${status}` });
    return JSON.stringify({ error: reason });
  });

/** Creates the server that accepts callers' requests. All routes come from the configuration. */
export const createCallerServer = (options: CallerServerOptions): FastifyInstance => {
  const {
    codec,
    runner,
    metrics,
    log,
    readSnapshot,
    computeSnapshotAgeMs,
    computeSinceSignalMs,
    readNow,
  } = options;
  const isClosing = (): boolean => computeSinceSignalMs() !== undefined;

  const refuse = (reply: CallerReply, caller: CallerHeaders, refusal: AdmissionRefusal): void => {
    const { status, reason, retryAfterMs } = refusal;
    const ageMs = Math.round(computeSnapshotAgeMs());
    const revision = readSnapshot()?.revision;
    log.info(
      { request: caller.requestId, status, reason, retryAfterMs, revision, ageMs },
      'request not admitted',
    );
    metrics.requests.inc({ route: '', end: `status_${status}` });
    const body = Buffer.from(JSON.stringify({ error: reason }));
    reply.send({ status, headers: codec.encodeRefusal(caller.requestId, retryAfterMs) }, body);
  };

  const handle = async (message: IncomingMessage, response: ServerResponse): Promise<void> => {
    const receivedAt = readNow();
    const reply = createCallerReply(response, isClosing);
    const caller = codec.decodeCaller(message.rawHeaders);
    const path = message.url ?? '/';
    const snapshot =
      readSnapshot() ?? (await options.waitForSnapshot(computeConfigWaitMs(caller.deadlineMs)));
    const admission = admitRequest(snapshot, caller, path, countHeadBytes(message));
    if (admission.isLeft() || !snapshot) {
      message.resume();
      admission.ifLeft((refusal) => refuse(reply, caller, refusal));
      return;
    }
    const { route, organisation } = admission.unsafeCoerce();
    const waitMs = Math.min(caller.deadlineMs ?? Infinity, route.timeoutMs);
    const sinceSignalMs = computeSinceSignalMs();
    const shutdownInput = { graceMs: options.graceMs, kind: route.kind, limitMs: waitMs };
    if (
      sinceSignalMs !== undefined &&
      !canAdmitDuringShutdown({ ...shutdownInput, sinceSignalMs })
    ) {
      message.resume();
      const reason = 'the gateway is shutting down';
      refuse(reply, caller, { status: 503, reason, retryAfterMs: STOPPING_RETRY_MS });
      return;
    }
    const { limits } = snapshot.table.config;
    const account = options.bodyBudget.openAccount();
    response.once('close', account.close);
    const body = await readBody(message, limits.bodyBytes, account);
    if (body.isLeft()) {
      refuse(reply, caller, BODY_REFUSALS[body.swap().unsafeCoerce()]);
      return;
    }
    const method = message.method ?? 'GET';
    const content = body.unsafeCoerce();
    const identity = {
      method,
      path,
      organisation: organisation?.name,
      lastBlock: caller.promptBlocks.at(-1)?.id,
      body: content,
    };
    await runner.run(
      {
        caller,
        method,
        path,
        body: content,
        account,
        fingerprint: computeFingerprint(identity),
        route,
        organisation,
        table: snapshot.table,
        receivedAt,
        deadlineAt: receivedAt + waitMs,
      },
      reply,
    );
  };

  const runHandler = (request: FastifyRequest, reply: FastifyReply): void => {
    reply.hijack();
    handle(request.raw, reply.raw).catch((cause: unknown) => {
      log.error(
        { err: convertToRouterError(cause, 'gateway.receive') },
        'request handler failed; closing the connection',
      );
      reply.raw.destroy();
    });
  };

  const clientErrors = createClientErrors(options);
  const app = fastify({
    logger: false,
    clientErrorHandler: clientErrors.handle,
    forceCloseConnections: false,
    http: {
      maxHeaderSize: HEAD_LIMIT_BYTES,
      connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
      requestTimeout: 0,
    },
    frameworkErrors: (_failure: unknown, request: FastifyRequest, reply: FastifyReply) =>
      runHandler(request, reply),
  } as Parameters<typeof fastify>[0]) as unknown as FastifyInstance;
  clientErrors.register(app.server);
  app.server.headersTimeout = DEFAULT_HEAD_TIMEOUT_MS;
  app.server.keepAliveTimeout = DEFAULT_IDLE_TIMEOUT_MS;
  // One handler serves every method and path. It also answers requests that match no configured
  // route.
  app.addHook('onRequest', (request, reply, done) => {
    runHandler(request, reply);
    done();
  });
  return app;
};

/** Applies the configured timeouts for request heads and idle connections. */
export const updateTimeouts = (app: FastifyInstance, snapshot: RoutingSnapshot): void => {
  const { headerTimeoutMs, idleTimeoutMs } = snapshot.table.config.limits;
  Object.assign(app.server, { headersTimeout: headerTimeoutMs, keepAliveTimeout: idleTimeoutMs });
};
