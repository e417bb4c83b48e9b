import { request as openRequest, type IncomingMessage } from 'node:http';
import { connect, createServer as createNetServer, type Socket } from 'node:net';
import { performance } from 'node:perf_hooks';
import pino from 'pino';
import { Registry } from 'prom-client';
import { Left } from 'purify-ts';
import { HEADERS, formatDescription } from '../../../../platform/__tests__/wireNames';
import { headerCodec } from '../../../../platform/headers';
import { identityCodec } from '../../../../platform/identity';
import { createWindowBudget, type ColdBounds } from '../../decisions';
import { createError } from '../../errors';
import type { EndpointReport, KnownEndpoint } from '../../registry';
import { startOnOwnAddress, type OwnAddress } from '../../__tests__/ownAddresses';
import { createRouteTable, type Route, type RoutingConfig } from '../../routing';
import { createPrefixCacheEstimates } from '../prefixCacheEstimates';
import { createByteBudget } from '../byteBudget';
import { createCallerServer, updateTimeouts } from '../callerServer';
import { startEndpointAttempt } from '../endpointAttempt';
import { fetchProcessState } from '../endpointProcess';
import { createEndpointChooser } from '../endpointChoice';
import { createColdPermits } from '../coldPermits';
import { createEndpointLimits } from '../endpointLimits';
import { createEndpointLoads } from '../endpointLoads';
import { createEndpointBackoffs } from '../endpointBackoffs';
import { createExchangeRunner } from '../exchange';
import { createGatewayMetrics } from '../gatewayMetrics';
import { createLeaseClock } from '../leaseClock';
import { createRequestGuard } from '../requestGuard';
import { createRequestQuarantine } from '../requestQuarantine';
import type { RoutingSnapshot } from '../routingView';
import { createSessionVersions } from '../sessionVersions';
import { createSuspectTable } from '../suspectTable';
import { createVersionTallies } from '../versionTallies';

/** The process of a test endpoint, as it describes itself when it is asked. */
export interface EndpointProcess {
  readonly id: string;
  /** Unix time of the start in milliseconds. */
  readonly startedAt: number;
  /** Responds to the question which process it is. */
  readonly sendDescription: (socket: Socket, process: EndpointProcess) => void;
}

/**
 * Responds to the request of one connection by writing directly to the socket of a test endpoint.
 * `replaceProcess` lets another process take over the endpoint's address.
 */
export type SocketAnswer = (
  socket: Socket,
  head: string,
  stopListening: () => void,
  replaceProcess: (process: Partial<EndpointProcess>) => void,
) => void;

/** The response that a test caller received. */
export interface CallerResult {
  readonly status: number;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
  /** Whether the response is complete according to its framing. */
  readonly isComplete: boolean;
}

/** A gateway whose endpoints are plain TCP servers. */
export interface GatewayHarness {
  readonly call: (options?: CallOptions) => Promise<CallerResult>;
  /** Address of the server for callers. */
  readonly address: OwnAddress;
  /** Heads of the requests that each endpoint received. */
  readonly heads: readonly string[][];
  readonly logs: readonly string[];
  /** Returns the version that the latest request of a session was sent to. */
  readonly findSessionVersion: (session: string) => string | undefined;
  readonly stop: () => Promise<void>;
}

/** Options of one call to the gateway. */
export interface CallOptions {
  readonly method?: string;
  readonly path?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
}

/** Dependencies of a test's gateway that replace the defaults. */
export interface GatewayOverrides {
  /** Called before a request of a session is placed. */
  readonly bindUnknown?: () => Promise<void>;
  readonly hasLease?: () => boolean;
  /** Limit for the answer of a process that is asked who it is, in milliseconds. */
  readonly processTimeoutMs?: number;
  readonly bodyMemoryBytes?: number;
  /** Limit of a request body in the configuration. */
  readonly bodyBytes?: number;
  /** Bounds on the requests to cold endpoints; the service's cold endpoints take 8.8 a second. */
  readonly coldBounds?: ColdBounds;
}

/** Fields of a test's route that replace the defaults. */
export type RouteFields = Partial<Route>;

const HOST = 'shop.example';
/** Long enough for a busy machine. */
const PROCESS_TIMEOUT_MS = 10_000;
const BODY_BYTES = 1_000_000;
const BODY_MEMORY_BYTES = 32 * 1024 * 1024;
const KEY = 'key-1';

/** Creates a test's route. */
export const createRoute = (fields: RouteFields): Route => ({
  name: 'r-1',
  host: HOST,
  pathPrefix: '/a/',
  kind: 'idempotent',
  timeoutMs: 5_000,
  targetLatencyMs: 1_000,
  gapTargetMs: undefined,
  rank: 0,
  targets: [{ service: 's', weight: 1 }],
  attemptLimit: 3,
  isPublic: false,
  canResume: false,
  models: [],
  ...fields,
});

const createConfig = (route: Route, bodyBytes: number): RoutingConfig => ({
  version: 1,
  routes: [route],
  services: [
    {
      name: 's',
      connectionLimit: 100,
      coldStart: { durationMs: 3_000, requestsPerSecond: 8.8 },
      engine:
        route.models.length > 0
          ? {
              slots: 8,
              cacheTokens: 100_000,
              tokensPerEvent: 1,
              models: route.models.map((name, index) => ({ name, cost: index + 1 })),
            }
          : undefined,
    },
  ],
  organisations: [{ name: 'north', keys: [KEY], rank: undefined }],
  limits: {
    headerBytes: 16_384,
    bodyBytes,
    headerTimeoutMs: 2_000,
    idleTimeoutMs: 5_000,
  },
});

const STARTED_AT = 1;

const formatId = (index: number): string => `e-${index}`;

/** Creates the report of a test endpoint. */
export const createReport = (index: number, port: number, host = '127.0.0.1'): EndpointReport => ({
  id: formatId(index),
  startedAt: STARTED_AT,
  sequence: 1,
  service: 's',
  address: `${host}:${port}`,
  zone: 'a',
  version: 'v1',
  slots: 8,
  state: 'ready',
  warmupMs: 0,
  models: [],
});

/** Requests about the endpoint itself; endpoints answer them without running anything. */
const SELF_REQUEST = /^GET \/(?:report|health) /;

const sendDescription: EndpointProcess['sendDescription'] = (socket, { id, startedAt }) => {
  const body = formatDescription(startedAt);
  socket.end(
    `HTTP/1.1 200 OK\r\n${HEADERS.endpoint}: ${id}\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
  );
};

const startEndpoint = async (answer: SocketAnswer, heads: string[], id: string) => {
  const sockets = new Set<Socket>();
  let process: EndpointProcess = { id, startedAt: STARTED_AT, sendDescription };
  const server = createNetServer({ allowHalfOpen: true }, (socket) => {
    sockets.add(socket);
    socket.on('error', () => {});
    socket.once('data', (data) => {
      const head = data.toString('latin1');
      if (SELF_REQUEST.test(head)) {
        process.sendDescription(socket, process);
        return;
      }
      heads.push(head);
      answer(
        socket,
        head,
        () => server.close(),
        (next) => {
          process = { ...process, ...next };
        },
      );
    });
  });
  const { host, port } = await startOnOwnAddress(server);
  const stop = (): void => {
    sockets.forEach((socket) => socket.destroy());
    server.close();
  };
  return { host, port, stop };
};

const isCloseDelimited = ({ headers }: CallerResult): boolean =>
  headers['content-length'] === undefined &&
  headers['transfer-encoding'] === undefined &&
  headers.connection === 'close';

const readAnswer = (message: IncomingMessage): Promise<CallerResult> =>
  new Promise((resolve) => {
    const chunks: Buffer[] = [];
    const handleEnd = (isComplete: boolean): void =>
      resolve({
        status: message.statusCode!,
        headers: message.headers,
        body: Buffer.concat(chunks).toString(),
        isComplete,
      });
    message.on('data', (chunk: Buffer) => chunks.push(chunk));
    message.on('end', () => handleEnd(message.complete));
    message.on('error', () => handleEnd(false));
  });

/**
 * Starts a gateway with one endpoint per entry of `answers`. Endpoints are tried in the given
 * order.
 */
export const startGateway = async (
  fields: RouteFields,
  answers: readonly SocketAnswer[],
  {
    bindUnknown = async () => {},
    hasLease = () => true,
    processTimeoutMs = PROCESS_TIMEOUT_MS,
    bodyMemoryBytes = BODY_MEMORY_BYTES,
    bodyBytes = BODY_BYTES,
    coldBounds,
  }: GatewayOverrides = {},
): Promise<GatewayHarness> => {
  const heads: string[][] = answers.map(() => []);
  const endpoints = await Promise.all(
    answers.map((answer, index) => startEndpoint(answer, heads[index]!, formatId(index))),
  );
  const reports = endpoints.map(({ host, port }, index) => createReport(index, port, host));
  const known: readonly KnownEndpoint[] = reports.map((report) => ({ report, isReady: true }));
  const snapshot: RoutingSnapshot = {
    revision: 1,
    table: createRouteTable(createConfig(createRoute(fields), bodyBytes)),
    rollouts: [],
    retired: [],
    rolloutStartedAt: new Map(),
    gatewayCount: 1,
    evacuatedZones: new Set(),
  };
  const logs: string[] = [];
  const log = pino({ level: 'info' }, { write: (line: string) => logs.push(line) });
  const readNow = (): number => performance.now();
  const loads = createEndpointLoads();
  const sessions = createSessionVersions(5_000);
  const limits = createEndpointLimits({
    log,
    findService: () => 's',
    countEndpoints: () => reports.length,
    countGateways: () => 1,
  });
  const metrics = createGatewayMetrics(new Registry());
  const clock = createLeaseClock();
  const coldPermits = createColdPermits({
    bounds: coldBounds,
    log,
    metrics,
    clock,
    listServices: () => [],
    findColdStart: (service) => snapshot.table.findService(service)?.coldStart,
    listEndpoints: () => known,
    updateFollowed: () => {},
    countGateways: () => 1,
    readEvacuatedZones: () => undefined,
  });
  // The gateway has heard from a leader that no endpoint may be cold.
  const leader = { term: 1, collectingMs: 60_000 };
  coldPermits.applyAnswer({ granted: [], doubts: [], leader }, clock.readClocks(), readNow());
  const backoffs = createEndpointBackoffs(log);
  const chooser = createEndpointChooser({
    zone: 'a',
    sessionMs: 5_000,
    exposureShare: 0.1,
    limits,
    coldPermits,
    backoffs,
    loads,
    sessions,
    cacheEstimates: createPrefixCacheEstimates(() => undefined),
    registry: { listEndpoints: () => known },
  });
  const quarantine = createRequestQuarantine({
    suspects: createSuspectTable(log, metrics),
    log,
    readNow,
  });
  const requestGuard = createRequestGuard({
    quarantine,
    rpc: {
      call: async () =>
        Left(createError({ type: 'unavailable', message: 'no control host', step: 'test' })),
    },
    log,
    readNow,
    findControlHost: () => undefined,
  });
  const budget = createWindowBudget({ ratio: 1, slack: 100, windowMs: 10_000 });
  const runner = createExchangeRunner({
    codec: headerCodec,
    // Endpoints are chosen in list order, so that a test knows which one is tried first.
    chooser: {
      ...chooser,
      choose: (given, request, now) => {
        const report = reports.find(({ id }) => !request.tried.has(id));
        if (!report) return chooser.choose(given, request, now);
        const placed = { type: 'placed', endpoint: report, reason: 'test' } as const;
        const prefill = { predictedMs: 0, queueMs: 0, uncachedTokens: 0, prefillMs: 0 };
        return { ...placed, ...prefill, versionBasis: { reason: 'no roll-out' } };
      },
    },
    loads,
    sessions,
    sessionExchange: { bindUnknown },
    quarantine,
    requestGuard,
    limits,
    coldPermits,
    admission: { admit: () => ({ type: 'run' }), hasRoomForLarger: () => true },
    recordLeaving: () => {},
    backoffs,
    tallies: createVersionTallies(),
    metrics,
    log,
    readSnapshot: () => (hasLease() ? snapshot : undefined),
    findBudget: () => budget,
    startAttempt: (target) => startEndpointAttempt(target, headerCodec.decodeResponse),
    fetchProcessState: (endpoint) =>
      fetchProcessState(
        identityCodec,
        endpoint,
        snapshot.table.findService(endpoint.service),
        processTimeoutMs,
      ),
    readNow,
  });
  const server = createCallerServer({
    codec: headerCodec,
    runner,
    bodyBudget: createByteBudget(bodyMemoryBytes),
    metrics,
    log,
    readSnapshot: () => snapshot,
    waitForSnapshot: async () => snapshot,
    computeSnapshotAgeMs: () => 0,
    computeSinceSignalMs: () => undefined,
    graceMs: 5_000,
    readNow,
  });
  updateTimeouts(server, snapshot);
  await server.ready();
  const address = await startOnOwnAddress(server.server);

  const call: GatewayHarness['call'] = (options = {}) =>
    new Promise((resolve, reject) => {
      const socket = connect({ ...address, allowHalfOpen: true });
      // A reset that arrives with the last bytes is read like a close; an empty write tells it from one.
      const hasBeenReset = new Promise<boolean>((resolveReset) => {
        socket.once('end', () => socket.write('', (cause) => resolveReset(cause instanceof Error)));
        socket.once('close', () => resolveReset(false));
      });
      const sent = openRequest(
        {
          createConnection: () => socket,
          method: options.method ?? 'GET',
          path: options.path ?? '/a/b',
          headers: {
            host: HOST,
            [HEADERS.requestId]: 'id-1',
            [HEADERS.key]: KEY,
            [HEADERS.deadline]: '5000',
            ...options.headers,
          },
        },
        (message) => {
          // Node's client ends a close-delimited body that was reset, after an error of the request.
          let isReset = false;
          sent.off('error', reject).on('error', () => {
            isReset = true;
          });
          readAnswer(message).then(async (result) => {
            // Only the end of the connection ends a response without a length or chunks.
            if (result.isComplete && isCloseDelimited(result)) isReset ||= await hasBeenReset;
            socket.destroy();
            resolve({ ...result, isComplete: result.isComplete && !isReset });
          }, reject);
        },
      );
      sent.on('error', reject);
      sent.end(options.body);
    });

  return {
    call,
    address,
    heads,
    logs,
    findSessionVersion: (session) => sessions.find('s', session, readNow())?.version,
    stop: async () => {
      endpoints.forEach((endpoint) => endpoint.stop());
      server.server.close();
      server.server.closeAllConnections();
      await server.close();
    },
  };
};
