import test from 'ava';
import fc from 'fast-check';
import pino from 'pino';
import { Registry } from 'prom-client';
import type { KnownEndpoint } from '../../registry';
import { createColdPermits } from '../coldPermits';
import { createGatewayMetrics } from '../gatewayMetrics';
import { createLeaseClock } from '../leaseClock';
import { COLD_BOUNDS, countMostInSecond, runColdWorld, type ColdSchedule } from './coldWorld';

const RUNS = Number(process.env.MODEL_RUNS ?? 150);
const SEED = Number(process.env.MODEL_SEED ?? 20_261_206);
const SEARCH_LIMIT = 60;
const RATE = 8.8;
const ALLOWED = RATE * COLD_BOUNDS.overage + COLD_BOUNDS.slack;

const createTimes = (maxLength: number) =>
  fc.array(fc.integer({ min: -2_000, max: 3_000 }), { maxLength });

const schedules: fc.Arbitrary<ColdSchedule> = fc.record({
  seed: fc.integer({ min: 1, max: 1_000_000 }),
  gateways: fc.constantFrom(1, 2, 5, 23, 31, 60),
  rate: fc.constantFrom(20, 100, 300),
  idleMs: fc.constantFrom(0, 0, 300, 700),
  darkMs: fc.integer({ min: 2_000, max: 6_000 }),
  coldMs: fc.constant(4_000),
  isRestarted: fc.boolean(),
  leaderChanges: createTimes(4),
  restarts: createTimes(3),
  pauses: fc.array(
    fc.record({
      at: fc.integer({ min: -2_000, max: 3_000 }),
      ms: fc.integer({ min: 100, max: 3_000 }),
      isSuspended: fc.boolean(),
    }),
    { maxLength: 4 },
  ),
  lossShare: fc.constantFrom(0, 0.1, 0.4),
  maxDelayMs: fc.constantFrom(5, 100, 350),
});

// Guards against more requests in a second than a cold endpoint survives, whatever happens to
// gateways, leaders and messages.
test('no second brings a cold endpoint more requests than its bound', (t) => {
  let most = 0;
  let arrivals = 0;
  fc.assert(
    fc.property(schedules, (schedule) => {
      const history = runColdWorld(schedule);
      const count = countMostInSecond(history.arrivals);
      most = Math.max(most, count);
      arrivals += history.arrivals.length;
      if (count > ALLOWED) throw new Error(`${count} requests in a second, ${ALLOWED} allowed`);
    }),
    { seed: SEED, numRuns: RUNS, endOnFailure: true },
  );
  t.true(arrivals > RUNS, 'requests do reach the cold endpoint');
  t.log(`${RUNS} runs, ${arrivals} requests while cold, at most ${most} in a second`);
});

const CALM: ColdSchedule = {
  seed: 7,
  gateways: 23,
  rate: 300,
  idleMs: 0,
  darkMs: 4_000,
  coldMs: 20_000,
  isRestarted: false,
  leaderChanges: [],
  restarts: [],
  pauses: [],
  lossShare: 0,
  maxDelayMs: 20,
};

// Guards against permits that are kept back while nothing fails and demand is high.
for (const gateways of [1, 5, 23, 31, 68]) {
  test(`while nothing fails, the rate of a cold endpoint is given to ${gateways} gateways`, (t) => {
    const { given, arrivals, coldAt, endedAt } = runColdWorld({ ...CALM, gateways });
    const wanted = (RATE * CALM.coldMs) / 1_000;
    t.log(`given ${(given / wanted).toFixed(2)}, used ${(arrivals.length / wanted).toFixed(2)}`);
    t.true(given >= 0.9 * wanted, `${given} of ${wanted} in ${endedAt - coldAt} ms`);
    t.true(countMostInSecond(arrivals) <= ALLOWED);
  });
}

const HARD: ColdSchedule = {
  ...CALM,
  darkMs: 4_000,
  coldMs: 4_000,
  leaderChanges: [500, 1_100, 1_700, 2_300, 2_900],
  pauses: Array.from({ length: 20 }, (_item, index) => ({
    at: 150 * index,
    ms: 900 + 40 * index,
    isSuspended: index % 2 === 0,
  })),
  maxDelayMs: 100,
};

const rules = [
  { withoutRule: 'permits', schedule: HARD },
  // Many gateways hold a permit when a burst comes.
  { withoutRule: 'lifetime', schedule: { ...CALM, idleMs: 2_500 } },
  { withoutRule: 'debt', schedule: HARD },
  { withoutRule: 'losses', schedule: HARD },
] as const;

// Shows that the model sees what each rule prevents.
for (const { withoutRule, schedule } of rules) {
  test(`without the rule '${withoutRule}' a second exceeds the bound`, (t) => {
    for (let seed = 1; seed <= SEARCH_LIMIT; seed += 1) {
      const { arrivals } = runColdWorld({ ...schedule, seed, withoutRule });
      const most = countMostInSecond(arrivals);
      if (most > ALLOWED) {
        t.log(`seed ${seed}: ${most} requests in a second`);
        t.pass();
        return;
      }
    }
    t.fail(`no seed up to ${SEARCH_LIMIT} exceeds the bound`);
  });
}

const ENDPOINT: KnownEndpoint = {
  isReady: true,
  report: {
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
  },
};
const { report: REPORT } = ENDPOINT;
const COLD_START = { durationMs: 3_000, requestsPerSecond: 8.8 };
const LEADER = { term: 1, collectingMs: 60_000 };

interface PermitOptions {
  readonly hasBounds?: boolean;
  readonly hasColdStart?: boolean;
}

const createGateway = ({ hasBounds = true, hasColdStart = true }: PermitOptions = {}) => {
  const clocks = { monotonic: 0, wall: 0 };
  const clock = createLeaseClock(
    () => clocks.monotonic,
    () => clocks.wall,
  );
  let followed: readonly string[] = [];
  let endpoint = ENDPOINT;
  let evacuatedZones: ReadonlySet<string> | undefined = new Set();
  const permits = createColdPermits({
    bounds: hasBounds ? COLD_BOUNDS : undefined,
    log: pino({ level: 'silent' }),
    metrics: createGatewayMetrics(new Registry()),
    clock,
    listServices: () => (hasColdStart ? ['s'] : []),
    findColdStart: () => (hasColdStart ? COLD_START : undefined),
    listEndpoints: () => [endpoint],
    updateFollowed: (ids) => {
      followed = ids;
    },
    countGateways: () => 1,
    readEvacuatedZones: () => evacuatedZones,
  });
  const readNow = (): number => clocks.monotonic;
  return {
    permits,
    advance: (monotonic: number, wall = monotonic): void => {
      clocks.monotonic += monotonic;
      clocks.wall += wall;
    },
    exchange: (count: number) => {
      const calledAt = clock.readClocks();
      const report = permits.createReport(readNow());
      const granted = count > 0 ? [{ endpoint: 'e', service: 's', permits: count }] : [];
      permits.applyAnswer({ granted, doubts: [], leader: LEADER }, calledAt, readNow());
      return report;
    },
    updateEndpoint: (fields: Partial<KnownEndpoint['report']>, isOverdue = false): void => {
      endpoint = { isReady: true, isOverdue, report: { ...REPORT, ...fields } };
    },
    evacuate: (...zones: readonly string[]): void => {
      evacuatedZones = new Set(zones);
    },
    loseLease: (): void => {
      evacuatedZones = undefined;
    },
    canSend: () => permits.canSend(endpoint.report, readNow()),
    send: () => permits.recordSent(endpoint.report, readNow()),
    loseConnection: () => permits.recordLoss(endpoint.report, readNow()),
    listFollowed: () => followed,
  };
};

const unlimited = [
  { name: 'no bounds', options: { hasBounds: false } },
  { name: 'no rate', options: { hasColdStart: false } },
] as const;

// Guards against a change for deployments that don't limit the rates of cold endpoints.
for (const { name, options } of unlimited) {
  test(`cold endpoints get any rate with ${name}`, (t) => {
    const gateway = createGateway(options);
    gateway.updateEndpoint({ warmupMs: 3_000 });
    gateway.loseConnection();
    t.true(gateway.canSend());
    t.true(gateway.send()());
  });
}

const elapsed = [
  { name: 'at once', monotonic: 0, wall: 0, canSend: true },
  { name: 'after the process was paused', monotonic: 700, wall: 700, canSend: false },
  { name: 'after the host was suspended', monotonic: 0, wall: 700, canSend: false },
] as const;

// Guards against permits of a paused process that add to those granted since.
for (const { name, monotonic, wall, canSend } of elapsed) {
  test(`a permit is used ${name}`, (t) => {
    const gateway = createGateway();
    gateway.exchange(0);
    gateway.updateEndpoint({ warmupMs: 3_000, sequence: 2 });
    t.false(gateway.canSend());
    gateway.exchange(2);
    const canStillSend = gateway.send();
    gateway.advance(monotonic, wall);
    t.is(canStillSend(), canSend, 'checked when the connection is established');
    t.is(gateway.canSend(), canSend, 'the permit in hand');
  });
}

// Guards against a gateway that trusts what an endpoint reported before its connection was lost.
test('a lost connection is shared, and settled by reports that were made later', (t) => {
  const gateway = createGateway();
  gateway.exchange(0);
  t.true(gateway.canSend());
  gateway.loseConnection();
  t.false(gateway.canSend());
  t.deepEqual(gateway.exchange(0)?.doubts, [{ endpoint: 'e|1', ageMs: 0 }]);
  t.deepEqual(gateway.listFollowed(), ['e']);
  for (const sequence of [50, 51, 52]) {
    t.false(gateway.canSend());
    gateway.advance(1_200);
    gateway.updateEndpoint({ sequence });
  }
  t.true(gateway.canSend());
  gateway.exchange(0);
  t.deepEqual(gateway.listFollowed(), []);
});

const evacuations = [
  { name: 'its zone', zone: 'a', hasLease: true, canSend: false },
  { name: 'its zone, while the gateway had no lease', zone: 'a', hasLease: false, canSend: false },
  { name: 'another zone', zone: 'b', hasLease: true, canSend: true },
] as const;

// Guards against a gateway that trusts a report from before the endpoint became cold in an evacuation.
for (const { name, zone, hasLease, canSend } of evacuations) {
  test(`an endpoint needs ${canSend ? 'no ' : ''}permits after the evacuation of ${name}`, (t) => {
    const gateway = createGateway();
    gateway.exchange(0);
    gateway.evacuate(zone);
    gateway.canSend();
    if (!hasLease) gateway.loseLease();
    gateway.canSend();
    gateway.evacuate();
    t.is(gateway.canSend(), canSend);
    for (const sequence of [50, 51, 52]) {
      gateway.advance(1_200);
      gateway.updateEndpoint({ sequence });
      gateway.canSend();
    }
    t.true(gateway.canSend());
  });
}

test('an endpoint whose reports are overdue gets requests with permits only', (t) => {
  const gateway = createGateway();
  gateway.exchange(0);
  t.true(gateway.canSend());
  gateway.updateEndpoint({}, true);
  gateway.exchange(0);
  t.false(gateway.canSend());
});

// Guards against a gateway that knows nothing of what happened before it ran.
test('a gateway that has just started or was paused knows no endpoint to be warm', (t) => {
  const gateway = createGateway();
  t.false(gateway.canSend());
  gateway.exchange(0);
  t.true(gateway.canSend());
  gateway.advance(2_000);
  t.false(gateway.canSend());
  gateway.exchange(0);
  t.true(gateway.canSend());
});
