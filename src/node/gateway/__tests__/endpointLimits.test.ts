import test from 'ava';
import pino from 'pino';
import { createError } from '../../errors';
import type { EndpointReport } from '../../registry';
import { createLimitTable, shareLimitsParams } from '../../routingControl';
import { createEndpointLimits } from '../endpointLimits';
import { createLimitTopic } from '../limitTopic';
import { computeExchangeInterval } from '../peerExchange';
import { createRandom } from './random';

const STEP_MS = 10;
const RUN_MS = 20_000;
const WINDOW_MS = 4_000;
const REACTION_MS = 3_000;
const ENDPOINTS = 8;

const log = pino({ level: 'silent' });
const LOST = createError({ type: 'timeout', message: 'no answer', step: 'test' });
const ENDPOINT: EndpointReport = {
  id: 'e',
  startedAt: 1,
  sequence: 1,
  service: 's',
  address: '127.0.0.1:1',
  zone: 'a',
  version: 'v1',
  slots: 8,
  state: 'ready',
  warmupMs: 0,
  models: [],
};

interface Load {
  readonly gateways: number;
  readonly limit: number;
  /** Requests per second of all gateways for the service. */
  readonly rate: number;
  /** Share of the requests that come to the first gateway; the others share the rest. */
  readonly firstShare: number;
  /** Time at which the control host is replaced by one that knows nothing. */
  readonly leaderChangeAt?: number;
  /** Time at which all gateways but the first ones start again. */
  readonly restartAt?: number;
  /** Gateways that do not start again; 2 by default. */
  readonly kept?: number;
  /** Time from which on the endpoint names no limit. */
  readonly endsAt?: number;
  /** Time without requests. */
  readonly pause?: { readonly from: number; readonly to: number };
  /** Time from which on no control host answers. */
  readonly controlLostAt?: number;
}

const runLoad = (load: Load): readonly number[] => {
  const random = createRandom(1 + load.gateways);
  let now = 0;
  let table = createLimitTable('0');
  const createGateway = () => {
    const limits = createEndpointLimits({
      log,
      findService: () => 's',
      countEndpoints: () => ENDPOINTS,
      countGateways: () => load.gateways,
    });
    return { limits, topic: createLimitTopic({ limits, log, readNow: () => now }) };
  };
  const gateways = Array.from({ length: load.gateways }, createGateway);
  const offsets = gateways.map(() => random());
  const intervalMs = Math.round(computeExchangeInterval(load.gateways) / STEP_MS) * STEP_MS;
  const sent: number[] = [];
  const chooseGateway = (): number =>
    random() < load.firstShare ? 0 : Math.floor(random() * gateways.length);

  const sendRequest = (): void => {
    const { limits } = gateways[chooseGateway()]!;
    limits.recordDemand('s', now);
    // The other endpoints are busier, so the limited one is used whenever it may be.
    if (!limits.canSend(ENDPOINT, now)) return;
    limits.recordSent(ENDPOINT, now);
    sent.push(now);
    const observation = { endpoint: ENDPOINT, request: 'r', startedAt: now };
    const requestsPerSecond = now >= (load.endsAt ?? Infinity) ? undefined : load.limit;
    limits.record({ ...observation, requestsPerSecond }, now);
  };

  const runCall = (index: number): void => {
    const pending = gateways[index]!.topic.createReport('control')!;
    if (now >= (load.controlLostAt ?? Infinity)) {
      pending.handleFailure(LOST);
      return;
    }
    const report = JSON.parse(JSON.stringify(pending.report)) as typeof pending.report;
    pending.applyAnswer(table.share(report, now));
  };

  const runExchange = (index: number): void => {
    const offsetMs = Math.floor((offsets[index]! * intervalMs) / STEP_MS) * STEP_MS;
    if (now % intervalMs === offsetMs) runCall(index);
  };

  for (; now < RUN_MS; now += STEP_MS) {
    if (now === load.leaderChangeAt) table = createLimitTable(String(now));
    if (now === load.restartAt) {
      // A gateway takes requests once its first exchange has ended.
      for (let index = load.kept ?? 2; index < gateways.length; index += 1) {
        gateways[index] = createGateway();
        runCall(index);
      }
    }
    const isPaused = load.pause && now >= load.pause.from && now < load.pause.to;
    for (let due = isPaused ? 0 : (load.rate * STEP_MS) / 1_000; due > 0; due -= 1) {
      if (random() < due) sendRequest();
    }
    gateways.forEach((_gateway, index) => runExchange(index));
  }
  return sent;
};

const countMost = (times: readonly number[]): number => {
  let start = 0;
  let most = 0;
  times.forEach((at, index) => {
    while (times[start]! <= at - WINDOW_MS) start += 1;
    most = Math.max(most, index - start + 1);
  });
  return most;
};

const BASE: Load = { gateways: 5, limit: 2, rate: 30, firstShare: 0 };

const cases: readonly { readonly name: string; readonly load: Partial<Load> }[] = [
  { name: 'few gateways', load: {} },
  { name: 'a limit below one request a second', load: { limit: 0.4 } },
  { name: 'a high limit', load: { limit: 15, rate: 300 } },
  { name: 'one gateway with most requests', load: { firstShare: 0.8 } },
  { name: 'many gateways', load: { gateways: 29, limit: 3, rate: 200 } },
  { name: 'hundreds of gateways', load: { gateways: 360, limit: 3, rate: 3_600 } },
  { name: 'a lost leader', load: { leaderChangeAt: 8_000 } },
  { name: 'a lost leader and a high limit', load: { leaderChangeAt: 8_000, limit: 15, rate: 300 } },
  { name: 'gateways that start again', load: { gateways: 29, restartAt: 8_000, rate: 200 } },
  { name: 'no control host', load: { controlLostAt: 8_000 } },
];

for (const { name, load: fields } of cases) {
  test(`an endpoint gets no more requests than its limit: ${name}`, (t) => {
    const load = { ...BASE, ...fields };
    const sent = runLoad(load).filter((at) => at > REACTION_MS);
    const allowed = 1.5 * load.limit * (WINDOW_MS / 1_000) + 5;
    t.true(countMost(sent) <= allowed, `${countMost(sent)} in a window, ${allowed} allowed`);
    const used = sent.length / (load.limit * ((RUN_MS - REACTION_MS) / 1_000));
    t.log(`Used share of the limit: ${used.toFixed(2)}`);
    t.true(used > 0.5, `Used share of the limit: ${used}`);
  });
}

const ENDS_AT = 9_000;
/** Time within which every gateway learns that a limit has ended. */
const END_KNOWN_MS = 6_000;

const endings: readonly { readonly name: string; readonly load: Partial<Load> }[] = [
  { name: 'few gateways', load: {} },
  { name: 'hundreds of gateways', load: { gateways: 360, limit: 3, rate: 3_600 } },
  { name: 'gateways that know the limit from others only', load: { restartAt: 8_000, kept: 0 } },
  {
    name: 'gateways that know it from others while no control host answers',
    load: { restartAt: 8_000, kept: 0, controlLostAt: 8_010, rate: 300 },
  },
  {
    name: 'gateways that know it from others and a control host that lost its table',
    load: { restartAt: 8_000, kept: 0, leaderChangeAt: 8_500 },
  },
  { name: 'no requests for a while', load: { pause: { from: 7_000, to: 12_000 } } },
  { name: 'a limit that allows no requests', load: { limit: 0 } },
];

for (const { name, load: fields } of endings) {
  test(`a limit that has ended does not stay: ${name}`, (t) => {
    const load = { ...BASE, ...fields, endsAt: ENDS_AT };
    const knownAt = Math.max(ENDS_AT, load.pause?.to ?? 0) + END_KNOWN_MS;
    const sent = runLoad(load).filter((at) => at > knownAt);
    const wanted = (load.rate * (RUN_MS - knownAt)) / 1_000;
    t.true(sent.length > 0.9 * wanted, `${sent.length} of ${wanted} requests`);
  });
}

const createLimits = () =>
  createEndpointLimits({
    log,
    findService: () => 's',
    countEndpoints: () => 1,
    countGateways: () => 1,
  });

const observations = [
  { name: 'a response without a limit', named: undefined, startedAt: 0, isLimited: false },
  { name: 'a response that names one', named: 2, startedAt: 0, isLimited: true },
  {
    name: 'a later response to an earlier request without one',
    named: 2,
    endedBy: { startedAt: 50 },
    isLimited: true,
  },
  {
    name: 'a response to a later request without one',
    named: 2,
    endedBy: { startedAt: 150 },
    isLimited: false,
  },
] as const;

for (const { name, named, isLimited, ...rest } of observations) {
  test(`limit of an endpoint after ${name}`, (t) => {
    const limits = createLimits();
    const common = { endpoint: ENDPOINT, request: 'r' };
    limits.record({ ...common, requestsPerSecond: named, startedAt: 0 }, 100);
    if ('endedBy' in rest) {
      limits.record({ ...common, requestsPerSecond: undefined, ...rest.endedBy }, 200);
    }
    // Control is not lost yet, and it has granted nothing.
    limits.applyShared([], 200);
    t.is(limits.canSend(ENDPOINT, 200), !isLimited);
    t.true(limits.canSend({ ...ENDPOINT, startedAt: 2 }, 200), 'another incarnation has no limit');
  });
}

test('limits: reports of many limited endpoints fit the schema and leave none out', (t) => {
  const ENDPOINT_COUNT = 1_200;
  const limits = createLimits();
  for (let index = 0; index < ENDPOINT_COUNT; index += 1) {
    const endpoint = { ...ENDPOINT, id: `e-${index}` };
    limits.record({ endpoint, request: 'r', requestsPerSecond: 2, startedAt: 0 }, 100);
  }
  const reported = new Set<string>();
  for (let call = 0; call < 3; call += 1) {
    // Every limited endpoint is wanted, so each call has more to report than fits.
    limits.recordDemand('s', 100);
    const reports = limits.listReports(100);
    t.true(shareLimitsParams.safeParse({ limits: reports }).success);
    reports.forEach(({ endpoint }) => reported.add(endpoint));
  }
  t.is(reported.size, ENDPOINT_COUNT);
});
