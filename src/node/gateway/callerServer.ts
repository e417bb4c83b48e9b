import type { IncomingMessage, ServerResponse } from 'node:http';
import fastify, { type FastifyInstance, type FastifyReply, type FastifyRequest } from 'fastify';
import { canAdmitDuringShutdown } from '../decisions';
import { convertToRouterError } from '../errors';
import type { Logger } from '../log';
import { admitRequest, type AdmissionRefusal } from './admitRequest';
import { createCallerReply, type CallerReply } from './callerReply';
import type { ExchangeRunner } from './exchange';
import type { GatewayMetrics } from './gatewayMetrics';
import { readBody } from './readBody';
import type { RoutingSnapshot } from './routingView';
import type { CallerHeaders, HeaderCodec } from './types';

/** Parts of the callers' server. */
export interface CallerServerOptions {
  readonly codec: HeaderCodec;
  readonly runner: ExchangeRunner;
  readonly metrics: GatewayMetrics;
  readonly log: Logger;
  readonly readSnapshot: () => RoutingSnapshot | undefined;
  /** Waits until the facts are there, at most so many milliseconds. */
  readonly waitForSnapshot: (timeoutMs: number) => Promise<RoutingSnapshot | undefined>;
  /** Milliseconds since the configuration was confirmed. */
  readonly computeSnapshotAgeMs: () => number;
  /** Milliseconds since the signal to stop; undefined while there was none. */
  readonly computeSinceSignalMs: () => number | undefined;
  /** Milliseconds from the signal to stop to the end of the process. */
  readonly graceMs: number;
  readonly readNow: () => number;
}

/** Above every deployment's limit, which is checked against the configuration in force. */
const HEAD_LIMIT_BYTES = 64 * 1024;
/** Until a configuration says how long callers may take or stay idle. */
const DEFAULT_HEAD_TIMEOUT_MS = 10_000;
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;
/** How often Node looks for callers that are too slow. */
const CONNECTION_CHECK_INTERVAL_MS = 500;
/** Another gateway takes the request at once. */
const STOPPING_RETRY_MS = 10;
/** A gateway that starts has its configuration within about a second. */
const MAX_CONFIG_WAIT_MS = 1_000;
/** Part of the caller's time for which a request may wait for the configuration. */
const CONFIG_WAIT_DEADLINE_FRACTION = 0.1;
const BODY_FAILURE_STATUS = { too_large: 413, broken: 400 } as const;

const computeConfigWaitMs = (deadlineMs: number | undefined): number =>
  Math.min(MAX_CONFIG_WAIT_MS, CONFIG_WAIT_DEADLINE_FRACTION * (deadlineMs ?? 0));

const countHeadBytes = (message: IncomingMessage): number =>
  message.rawHeaders.reduce((sum, item) => sum + item.length + 2, 0) +
  (message.method?.length ?? 0) +
  (message.url?.length ?? 0);

/** Creates the server that takes callers' requests. Routes come from the configuration alone. */
export const createCallerServer = (options: CallerServerOptions): FastifyInstance => {
  const {
    codec,
    runner,
    metrics,
    log,
    readSnapshot: readFacts,
    computeSnapshotAgeMs: countFactsAge,
    computeSinceSignalMs: countStopMs,
    readNow,
  } = options;
  const isClosing = (): boolean => countStopMs() !== undefined;

  const refuse = (reply: CallerReply, caller: CallerHeaders, refusal: AdmissionRefusal): void => {
    const { status, reason, retryAfterMs } = refusal;
    const ageMs = Math.round(countFactsAge());
    const revision = readFacts()?.revision;
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
    const facts =
      readFacts() ?? (await options.waitForSnapshot(computeConfigWaitMs(caller.deadlineMs)));
    const admission = admitRequest(facts, caller, path, countHeadBytes(message));
    if (admission.isLeft() || !facts) {
      message.resume();
      admission.ifLeft((refusal) => refuse(reply, caller, refusal));
      return;
    }
    const { route, organisation } = admission.unsafeCoerce();
    const waitMs = Math.min(caller.deadlineMs ?? Infinity, route.timeoutMs);
    const sinceStopMs = countStopMs();
    const question = { graceMs: options.graceMs, kind: route.kind, limitMs: waitMs };
    if (
      sinceStopMs !== undefined &&
      !canAdmitDuringShutdown({ ...question, sinceSignalMs: sinceStopMs })
    ) {
      message.resume();
      const reason = 'this gateway is stopping';
      refuse(reply, caller, { status: 503, reason, retryAfterMs: STOPPING_RETRY_MS });
      return;
    }
    const { limits } = facts.table.config;
    const body = await readBody(message, limits.bodyBytes);
    if (body.isLeft()) {
      const failure = body.swap().unsafeCoerce();
      const reason = `the body is ${failure === 'too_large' ? 'too large' : 'incomplete'}`;
      refuse(reply, caller, { status: BODY_FAILURE_STATUS[failure], reason });
      return;
    }
    await runner.run(
      {
        caller,
        method: message.method ?? 'GET',
        path,
        body: body.unsafeCoerce(),
        route,
        organisation,
        table: facts.table,
        receivedAt,
        deadlineAt: receivedAt + waitMs,
      },
      reply,
    );
  };

  const runHandler = (request: FastifyRequest, reply: FastifyReply): void => {
    reply.hijack();
    handle(request.raw, reply.raw).catch((cause: unknown) => {
      log.error({ err: convertToRouterError(cause, 'gateway.receive') }, 'request lost');
      reply.raw.destroy();
    });
  };

  const app = fastify({
    logger: false,
    forceCloseConnections: false,
    http: {
      maxHeaderSize: HEAD_LIMIT_BYTES,
      connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
      requestTimeout: 0,
    },
    frameworkErrors: (_failure: unknown, request: FastifyRequest, reply: FastifyReply) =>
      runHandler(request, reply),
  } as Parameters<typeof fastify>[0]) as unknown as FastifyInstance;
  app.server.headersTimeout = DEFAULT_HEAD_TIMEOUT_MS;
  app.server.keepAliveTimeout = DEFAULT_IDLE_TIMEOUT_MS;
  // Any method and path goes the same way; what the configuration does not know is answered there.
  app.addHook('onRequest', (request, reply, done) => {
    runHandler(request, reply);
    done();
  });
  return app;
};

/** Takes over how long callers may take and stay idle. */
export const updateTimeouts = (app: FastifyInstance, facts: RoutingSnapshot): void => {
  const { headerTimeoutMs, idleTimeoutMs } = facts.table.config.limits;
  Object.assign(app.server, { headersTimeout: headerTimeoutMs, keepAliveTimeout: idleTimeoutMs });
};
