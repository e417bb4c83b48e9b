// Measures what the exchange between gateways costs the leading control host:
// `npm run bench:exchange [GATEWAYS]`.
import { fork } from 'node:child_process';
import type { AddressInfo } from 'node:net';
import { loadavg } from 'node:os';
import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import pino from 'pino';
import { computeExchangeInterval } from '../src/node/gateway';
import {
  createExchangeHandler,
  createColdTable,
  createLimitTable,
  createLoadAggregator,
  createSessionDirectory,
  createSpeedTable,
  createSuspectDirectory,
  exchangeParams,
  type ExchangeAnswer,
  type ExchangeParams,
  type SuspectReport,
} from '../src/node/routingControl';
import { createHttpServer, createMethod, createRpcClient, registerRpc } from '../src/node/rpc';

interface Scenario {
  readonly name: string;
  readonly hasLoads: boolean;
  readonly hasSuspects: boolean;
  /** Changed suspect blocks that each gateway reports with a call. */
  readonly changesPerCall: number;
  /** Different suspect blocks, or requests, of all gateways. */
  readonly blocks: number;
  /** Whether whole requests are suspected, and how many losses each of them has. */
  readonly hasRequests: boolean;
  readonly losses: number;
  /** Limited endpoints that a gateway asks for with each call, and those of all gateways. */
  readonly limitsPerCall: number;
  readonly limits: number;
}

interface WorkerInput {
  readonly client: number;
  readonly clients: number;
  readonly address: string;
  readonly gateways: number;
  readonly scenario: Scenario;
  readonly seconds: number;
}

interface WorkerResult {
  calls: number;
  failed: number;
  sentBytes: number;
  receivedBytes: number;
}

interface Cursors {
  readonly suspects?: NonNullable<ExchangeParams['suspects']>['cursor'];
  readonly loads?: NonNullable<ExchangeParams['loads']>['cursor'];
  readonly limits?: NonNullable<ExchangeParams['limits']>['cursor'];
}

const SECRET = 'bench';
const WORKER_MARK = 'worker';
/** Processes that play the gateways; one could not make all calls at the largest size. */
const CLIENTS = 3;
const SECONDS = 5;
const WARMUP_SECONDS = 2;
/** Endpoints that one gateway has requests at, and its requests between two calls. */
const ENDPOINTS_IN_USE = 16;
const PROMPTS_PER_CALL = 5;

const EMPTY = {
  hasLoads: false,
  hasSuspects: false,
  changesPerCall: 0,
  blocks: 0,
  hasRequests: false,
  losses: 3,
  limitsPerCall: 0,
  limits: 0,
};

const SCENARIOS: readonly Scenario[] = [
  { ...EMPTY, name: 'empty calls' },
  { ...EMPTY, name: 'suspects, calm', hasSuspects: true },
  { ...EMPTY, name: 'suspects, crashes', hasSuspects: true, changesPerCall: 0.1, blocks: 50 },
  { ...EMPTY, name: 'suspects, outage', hasSuspects: true, changesPerCall: 2, blocks: 2_000 },
  {
    ...EMPTY,
    name: 'requests, lost once',
    hasSuspects: true,
    changesPerCall: 2,
    blocks: 1e9,
    hasRequests: true,
    losses: 1,
  },
  {
    ...EMPTY,
    name: 'requests, lost again',
    hasSuspects: true,
    changesPerCall: 0.1,
    blocks: 50,
    hasRequests: true,
  },
  { ...EMPTY, name: 'request limits', limitsPerCall: 5, limits: 500 },
  { ...EMPTY, name: 'loads', hasLoads: true },
];

const createLoadReport = (gateway: number): ExchangeParams['loads'] => ({
  loads: Array.from({ length: ENDPOINTS_IN_USE }, (_item, index) => ({
    endpoint: `i-${gateway}-${index}`,
    running: 3,
    readMs: 120.5,
  })),
  reads: Array.from({ length: PROMPTS_PER_CALL }, (_item, index) => ({
    endpoint: `i-${gateway}-${index}`,
    model: 'model-1',
    parts: ['head', `section-${index}`, `subject-${gateway}`, 'own'].map(
      (id) => [id, 1_000] as [string, number],
    ),
  })),
});

const createSuspect = (
  { hasRequests, losses }: Scenario,
  block: number,
  loss: number,
): SuspectReport => ({
  service: 'service-1',
  kind: hasRequests ? 'request' : undefined,
  block: `block-${block}`,
  depth: 1,
  losses: Array.from({ length: losses }, (_item, index) => ({
    incarnation: `i-${loss + index}|1765000000000`,
    startedAgeMs: 900,
    lostAgeMs: 100 * index,
    isAnswering: true,
    companions: ['head', 'section'],
    requests: [`fingerprint-${block}|own`],
  })),
});

const createLimitReport = ({ limitsPerCall, limits }: Scenario) => ({
  limits: Array.from({ length: limitsPerCall }, () => ({
    endpoint: `i-${Math.floor(Math.random() * limits)}|1765000000000`,
    requestsPerSecond: 3,
    ageMs: 100,
    wanted: 1,
  })),
});

const runGateway = async (
  input: WorkerInput,
  gateway: number,
  endAt: number,
  result: WorkerResult,
): Promise<void> => {
  const { address, scenario, gateways } = input;
  const rpc = createRpcClient({ secret: SECRET });
  const intervalMs = computeExchangeInterval(gateways);
  let cursors: Cursors = {};
  let changes = Math.random();
  await sleep(Math.random() * intervalMs);
  while (performance.now() < endAt) {
    changes += scenario.changesPerCall;
    const count = Math.floor(changes);
    changes -= count;
    const suspects = Array.from({ length: count }, () =>
      createSuspect(
        scenario,
        Math.floor(Math.random() * scenario.blocks),
        Math.floor(Math.random() * 1e6),
      ),
    );
    const params: ExchangeParams = {
      gateway: `gateway-${gateway}`,
      loads: scenario.hasLoads
        ? { ...createLoadReport(gateway)!, cursor: cursors.loads }
        : undefined,
      suspects: scenario.hasSuspects ? { suspects, cursor: cursors.suspects } : undefined,
      limits:
        scenario.limits > 0
          ? { ...createLimitReport(scenario), cursor: cursors.limits }
          : undefined,
    };
    const answer = await rpc.call<ExchangeAnswer>(address, 'gateway.exchange', params);
    const value = answer.toMaybe().extract();
    cursors = {
      suspects: value?.suspects?.cursor,
      loads: value?.loads?.cursor,
      limits: value?.limits?.cursor,
    };
    Object.assign(result, {
      calls: result.calls + 1,
      failed: result.failed + Number(value === undefined),
      sentBytes: result.sentBytes + JSON.stringify(params).length,
      receivedBytes: result.receivedBytes + JSON.stringify(value ?? null).length,
    });
    await sleep(intervalMs);
  }
  await rpc.close();
};

const runWorker = async (input: WorkerInput): Promise<void> => {
  const result: WorkerResult = { calls: 0, failed: 0, sentBytes: 0, receivedBytes: 0 };
  const endAt = performance.now() + (WARMUP_SECONDS + input.seconds) * 1_000;
  await Promise.all(
    Array.from({ length: input.gateways }, (_item, index) => index)
      .filter((index) => index % input.clients === input.client)
      .map((index) => runGateway(input, index, endAt, result)),
  );
  process.send!(result);
};

const runScenario = async (gateways: number, scenario: Scenario): Promise<void> => {
  const tables = {
    loads: createLoadAggregator(),
    sessions: createSessionDirectory(),
    suspects: createSuspectDirectory(),
    limits: createLimitTable(),
    cold: createColdTable({
      log: pino({ level: 'silent' }),
      bounds: undefined,
      findColdStart: () => undefined,
      readLeader: () => undefined,
    }),
    speeds: createSpeedTable(),
  };
  const handle = createExchangeHandler(tables, pino({ level: 'silent' }));
  const app = createHttpServer({ tls: undefined });
  const method = createMethod(exchangeParams, (params) => handle(params, performance.now()));
  registerRpc(app, { 'gateway.exchange': method }, SECRET, () => {});
  await app.listen({ host: '127.0.0.1', port: 0 });
  const address = `127.0.0.1:${(app.server.address() as AddressInfo).port}`;
  const input = { address, gateways, scenario, seconds: SECONDS };
  const workers = Array.from({ length: CLIENTS }, (_item, client) =>
    fork(fileURLToPath(import.meta.url), [
      WORKER_MARK,
      JSON.stringify({ ...input, client, clients: CLIENTS }),
    ]),
  );
  const finished = Promise.all(
    workers.map(
      (worker) =>
        new Promise<WorkerResult>((resolve, reject) => {
          worker.once('message', (message) => resolve(message as WorkerResult));
          worker.once('error', reject);
        }),
    ),
  );
  await sleep(WARMUP_SECONDS * 1_000);
  const cpuBefore = process.cpuUsage();
  await sleep(SECONDS * 1_000);
  const { user, system } = process.cpuUsage(cpuBefore);
  const coreShare = (user + system) / 1e6 / SECONDS;
  const results = await finished;
  const computeSum = (read: (result: WorkerResult) => number): number =>
    results.map(read).reduce((total, value) => total + value, 0);
  const formatRate = (bytes: number): string =>
    (bytes / 1_024 / gateways / (SECONDS + WARMUP_SECONDS)).toFixed(1);
  console.log(
    [
      scenario.name.padEnd(26),
      `${gateways} gateways`,
      `${Math.round(computeSum(({ calls }) => calls) / (SECONDS + WARMUP_SECONDS))} calls/s`,
      `${(100 * coreShare).toFixed(1)}% of a core`,
      `${formatRate(computeSum(({ sentBytes }) => sentBytes))} KB/s sent`,
      `${formatRate(computeSum(({ receivedBytes }) => receivedBytes))} KB/s received by a gateway`,
      `${computeSum(({ failed }) => failed)} failed`,
    ].join(', '),
  );
  app.server.closeAllConnections();
  await app.close();
};

const [first, second] = process.argv.slice(2);
if (first === WORKER_MARK) {
  await runWorker(JSON.parse(second!) as WorkerInput);
} else {
  const sizes = first === undefined ? [29, 90, 360] : [Number(first)];
  console.log(`load average ${loadavg()[0]!.toFixed(1)}`);
  for (const gateways of sizes) {
    for (const scenario of SCENARIOS) await runScenario(gateways, scenario);
  }
}
