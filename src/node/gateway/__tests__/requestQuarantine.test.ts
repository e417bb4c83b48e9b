import test from 'ava';
import pino from 'pino';
import { Registry } from 'prom-client';
import { encodeSuspect, shareSuspectsParams } from '../../routingControl';
import { createGatewayMetrics } from '../gatewayMetrics';
import { createRequestQuarantine } from '../requestQuarantine';
import { createSuspectTable } from '../suspectTable';
import { runQuarantineLoad, type QuarantineLoad } from './quarantineWorld';

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10];
const CRASHES = 5;
const REACTION_MS = 3_000;
/** Requests with the block that may reach endpoints later than that. */
const ALLOWED = 3;

const BASE: QuarantineLoad = {
  gateways: 5,
  endpoints: 8,
  lengthMs: 30_000,
  soundPauseMs: 30,
  deadlyPauseMs: undefined,
  deadly: 'block',
  sections: 40,
  sendsHead: true,
  brokenShare: 0,
  outages: [],
  leaderChanges: [],
};

const deadlyCases: readonly { readonly name: string; readonly load: Partial<QuarantineLoad> }[] = [
  { name: 'a few requests', load: { deadlyPauseMs: 2_000 } },
  { name: 'one in twenty requests', load: { deadlyPauseMs: 600 } },
  { name: 'one in three requests', load: { deadlyPauseMs: 90 } },
  {
    name: 'endpoints that crash before the head of the response',
    load: { deadlyPauseMs: 600, sendsHead: false },
  },
  {
    name: 'one in three requests, before the head of the response',
    load: { deadlyPauseMs: 90, sendsHead: false },
  },
  { name: 'many gateways', load: { deadlyPauseMs: 300, gateways: 29, endpoints: 36 } },
  { name: 'beside broken connections', load: { deadlyPauseMs: 600, brokenShare: 0.05 } },
  {
    name: 'beside an outage of all endpoints',
    load: { deadlyPauseMs: 600, outages: [{ at: 5_000, share: 1 }] },
  },
  {
    name: 'beside lost leaders',
    load: { deadlyPauseMs: 600, leaderChanges: [2_000, 4_000, 9_000, 12_000] },
  },
];

for (const { name, load } of deadlyCases) {
  test(`requests with a deadly block stop reaching endpoints: ${name}`, async (t) => {
    for (const seed of SEEDS) {
      const outcome = await runQuarantineLoad({ ...BASE, ...load }, seed);
      const { crashes, deadlyArrivals, sound } = outcome;
      const boundFrom = (crashes[CRASHES - 1] ?? Infinity) + REACTION_MS;
      const late = deadlyArrivals.filter((at) => at > boundFrom);
      t.true(late.length <= ALLOWED, `Seed ${seed}: ${late.length} late arrivals`);
      const settledAt = (crashes[CRASHES - 1] ?? crashes.at(-1) ?? Infinity) + 2 * REACTION_MS;
      const judged = sound.filter(({ at }) => at > settledAt);
      const refused = judged.filter(({ isRefused }) => isRefused).length;
      t.true(refused <= judged.length / 2, `Seed ${seed}: ${refused} of ${judged.length} refused`);
    }
  });
}

/** Crashes of one request after which the reaction time begins. */
const REQUEST_CRASHES = 3;

const requestCases: readonly { readonly name: string; readonly load: Partial<QuarantineLoad> }[] = [
  { name: 'now and then', load: { deadlyPauseMs: 2_000 } },
  { name: 'one in twenty requests', load: { deadlyPauseMs: 600 } },
  { name: 'one in three requests', load: { deadlyPauseMs: 90 } },
  { name: 'before the head of the response', load: { deadlyPauseMs: 600, sendsHead: false } },
  { name: 'a plain service', load: { deadlyPauseMs: 600, deadly: 'plain request' } },
  {
    name: 'a plain service with three endpoints',
    load: { deadlyPauseMs: 300, deadly: 'plain request', endpoints: 3, sendsHead: false },
  },
  { name: 'many gateways', load: { deadlyPauseMs: 300, gateways: 29, endpoints: 36 } },
  { name: 'beside broken connections', load: { deadlyPauseMs: 600, brokenShare: 0.05 } },
  {
    name: 'beside an outage of all endpoints',
    load: { deadlyPauseMs: 600, outages: [{ at: 5_000, share: 1 }] },
  },
  {
    name: 'beside lost leaders',
    load: { deadlyPauseMs: 600, leaderChanges: [2_000, 4_000, 9_000, 12_000] },
  },
];

for (const { name, load } of requestCases) {
  test(`one deadly request stops reaching endpoints: ${name}`, async (t) => {
    for (const seed of SEEDS) {
      const outcome = await runQuarantineLoad({ ...BASE, deadly: 'request', ...load }, seed);
      const { crashes, deadlyArrivals, sound } = outcome;
      const boundFrom = (crashes[REQUEST_CRASHES - 1] ?? Infinity) + REACTION_MS;
      const late = deadlyArrivals.filter((at) => at > boundFrom);
      t.true(late.length <= ALLOWED, `Seed ${seed}: ${late.length} late arrivals`);
      // The request shares its blocks with sound ones, which must not be refused for it.
      const refused = sound.filter(({ isRefused }) => isRefused).length;
      t.true(refused <= sound.length / 50, `Seed ${seed}: ${refused} of ${sound.length} refused`);
    }
  });
}

const soundCases: readonly { readonly name: string; readonly load: Partial<QuarantineLoad> }[] = [
  { name: 'connections that break', load: { brokenShare: 0.06 } },
  {
    name: 'outages of a third of the endpoints',
    load: { outages: [5_000, 9_000, 13_000].map((at) => ({ at, share: 1 / 3 })) },
  },
  {
    name: 'an outage of all endpoints, first of all',
    load: { outages: [200, 5_000].map((at) => ({ at, share: 1 })) },
  },
  {
    name: 'endpoints that fail one after the other',
    load: {
      outages: Array.from({ length: 10 }, (_item, index) => ({
        at: 2_000 + 500 * index,
        share: 1 / 8,
      })),
    },
  },
];

// Such failures say nothing about prompts, so what they lead to must be over soon after them.
for (const { name, load } of soundCases) {
  test(`sound requests are not refused for long after ${name}`, async (t) => {
    for (const seed of SEEDS) {
      const { sound, quarantined } = await runQuarantineLoad({ ...BASE, ...load }, seed);
      const refused = sound.filter(({ isRefused }) => isRefused).length;
      t.true(refused < sound.length / 20, `Seed ${seed}: ${refused} of ${sound.length} refused`);
      t.deepEqual(
        quarantined.filter((id) => !id.startsWith('own-') && !id.startsWith('sound-')),
        [],
        `Seed ${seed}`,
      );
    }
  });
}

test('suspect blocks: the report of a long lost prompt fits the schema', (t) => {
  const log = pino({ level: 'silent' });
  const suspects = createSuspectTable(log, createGatewayMetrics(new Registry()));
  const quarantine = createRequestQuarantine({ suspects, log, readNow: () => 10 });
  const blocks = Array.from({ length: 80 }, (_item, index) => ({ id: `b-${index}`, tokens: 1 }));
  const loss = { incarnation: 'e/1', startedAt: 0, lostAt: 10, isAnswering: false };
  quarantine.recordLoss({ service: 's', fingerprint: 'f', blocks }, 'r', loss);
  const records = suspects.drainUnsent();
  t.true(records.length > 0);
  const report = { suspects: records.map((record) => encodeSuspect(record, 10)) };
  t.true(shareSuspectsParams.safeParse(report).success);
});
