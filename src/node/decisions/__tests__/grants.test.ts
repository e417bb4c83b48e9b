import test from 'ava';
import fc from 'fast-check';
import {
  CAP_WINDOW_SECONDS,
  createGrantHolder,
  createGrantTable,
  type Demand,
  type Grant,
  type GrantHolder,
} from '..';
import type { Cap } from '../../inventory';

const ORGANISATION = 'o';
const LIFETIME_MS = 3_000;
const RUN_LIMIT_MS = 20_000;
const STEP_MS = 100;

interface Run {
  readonly endsAt: number;
}

interface Entry {
  readonly name: string;
  readonly holder: GrantHolder;
  runs: Run[];
}

interface Schedule {
  readonly cap: Cap;
  /** Load per entry, in requests per step. */
  readonly loads: readonly number[];
  /** Range of steps in which an entry is disconnected, per entry. */
  readonly disconnects: readonly (readonly [number, number])[];
  /** Steps at which the answer to an exchange is lost. */
  readonly answersLost: readonly number[];
  /** Step at which a new grant table takes over without state. */
  readonly takeoverAt: number;
  readonly runMs: number;
}

interface Outcome {
  readonly admittedAt: readonly number[];
  readonly mostInFlight: number;
}

const LENGTH = 300;

/** Simulates entries and two successive grant tables, and counts the admitted requests. */
const runSchedule = (schedule: Schedule): Outcome => {
  const createTable = (firstSequence: number) =>
    createGrantTable({ lifetimeMs: LIFETIME_MS, runLimitMs: RUN_LIMIT_MS, firstSequence });
  const entries: Entry[] = schedule.loads.map((_unused, index) => ({
    name: `e${index}`,
    holder: createGrantHolder(),
    runs: [],
  }));
  const admittedAt: number[] = [];
  let table = createTable(0);
  let startedAt = -Infinity;
  let reported = new Set(entries.map((entry) => entry.name));
  let mostInFlight = 0;

  const sendExchange = (entry: Entry, now: number, isLost: boolean): void => {
    const demand: Demand = entry.holder.listDemands(now).get(ORGANISATION) ?? {
      requestsPerSecond: 0,
      tokensPerSecond: 0,
      wantedInFlight: 0,
      inFlight: 0,
      applied: 0,
    };
    reported.add(entry.name);
    const isKnown = reported.size === entries.length;
    const isOver = now >= startedAt + LIFETIME_MS + RUN_LIMIT_MS;
    const grant: Grant = table.grant({
      entry: entry.name,
      organisation: ORGANISATION,
      cap: schedule.cap,
      demand,
      now: now + 10,
      isRecovering: !isKnown && !isOver,
    });
    if (!isLost) entry.holder.install(ORGANISATION, grant, now + LIFETIME_MS, now + 20);
  };

  const runLoad = (entry: Entry, load: number, now: number): void => {
    const ended = entry.runs.filter((run) => run.endsAt <= now);
    ended.forEach(() => entry.holder.release(ORGANISATION, 0, now));
    const { runs } = entry;
    // eslint-disable-next-line no-param-reassign -- the entry belongs to this simulation
    entry.runs = runs.filter((run) => run.endsAt > now);
    for (let index = 0; index < load; index += 1) {
      if (entry.holder.acquire(ORGANISATION, 10, true, now)) continue;
      admittedAt.push(now);
      entry.runs.push({ endsAt: now + schedule.runMs });
    }
  };

  for (let step = 0; step < LENGTH; step += 1) {
    const now = step * STEP_MS;
    if (step === schedule.takeoverAt) {
      table = createTable(1_000_000);
      startedAt = now;
      reported = new Set();
    }
    entries.forEach((entry, index) => {
      const [from, to] = schedule.disconnects[index] ?? [0, 0];
      const isDisconnected = step >= from && step < to;
      const isLost = schedule.answersLost.includes(step);
      if (!isDisconnected && (step + index * 3) % 10 === 0) sendExchange(entry, now, isLost);
      runLoad(entry, schedule.loads[index]!, now + 30);
    });
    mostInFlight = Math.max(
      mostInFlight,
      entries.reduce((sum, entry) => sum + entry.runs.length, 0),
    );
  }
  return { admittedAt, mostInFlight };
};

const countInWindows = (times: readonly number[]): number => {
  const windowMs = CAP_WINDOW_SECONDS * 1_000;
  let most = 0;
  let first = 0;
  times.forEach((time, index) => {
    while (times[first]! <= time - windowMs) first += 1;
    most = Math.max(most, index - first + 1);
  });
  return most;
};

const scheduleArbitrary: fc.Arbitrary<Schedule> = fc.record({
  cap: fc.record({
    requestsPerSecond: fc.integer({ min: 1, max: 60 }),
    inFlight: fc.integer({ min: 1, max: 30 }),
  }),
  loads: fc.array(fc.integer({ min: 0, max: 6 }), { minLength: 1, maxLength: 4 }),
  disconnects: fc.array(
    fc.tuple(fc.integer({ min: 0, max: 150 }), fc.integer({ min: 0, max: 300 })),
    {
      maxLength: 4,
    },
  ),
  answersLost: fc.array(fc.integer({ min: 0, max: LENGTH }), { maxLength: 40 }),
  takeoverAt: fc.integer({ min: 0, max: LENGTH }),
  runMs: fc.integer({ min: 100, max: RUN_LIMIT_MS }),
});

test('the sum of grants stays within the caps under disconnects, lost answers and a takeover', (t) => {
  fc.assert(
    fc.property(scheduleArbitrary, (schedule) => {
      const { admittedAt, mostInFlight } = runSchedule(schedule);
      const { requestsPerSecond = 0, inFlight = 0 } = schedule.cap;
      const most = countInWindows(admittedAt);
      return most <= requestsPerSecond * CAP_WINDOW_SECONDS && mostInFlight <= inFlight;
    }),
    { seed: 11, numRuns: 300 },
  );
  t.pass();
});

interface UseCase {
  readonly title: string;
  readonly cap: Cap;
  readonly loads: readonly number[];
}

const USE_CASES: readonly UseCase[] = [
  { title: 'one entry', cap: { requestsPerSecond: 20 }, loads: [5] },
  { title: 'three entries, one with load', cap: { requestsPerSecond: 20 }, loads: [5, 0, 0] },
  { title: 'three entries with equal load', cap: { requestsPerSecond: 20 }, loads: [5, 5, 5] },
  { title: 'a small cap', cap: { requestsPerSecond: 2 }, loads: [2, 0, 0] },
  { title: 'tokens', cap: { tokensPerSecond: 500 }, loads: [10, 10, 0] },
];

for (const { title, cap, loads } of USE_CASES) {
  test(`a busy organisation can use 90% of its cap: ${title}`, (t) => {
    const schedule = {
      cap,
      loads,
      disconnects: [],
      answersLost: [],
      takeoverAt: LENGTH,
      runMs: 100,
    };
    const { admittedAt } = runSchedule(schedule);
    const steady = admittedAt.filter((time) => time >= 10_000);
    const perSecond = cap.requestsPerSecond ?? (cap.tokensPerSecond ?? 0) / 10;
    t.true(steady.length >= 0.9 * perSecond * 20, `${steady.length} of ${perSecond * 20}`);
  });
}
