import test from 'ava';
import pino from 'pino';
import { createError } from '../../errors';
import { createSpeedTable, shareSpeedsParams, type SpeedTable } from '../../routingControl';
import { createServiceSpeeds, type ServiceSpeeds } from '../serviceSpeeds';
import { createSpeedTopic } from '../speedTopic';

const ENDPOINTS = 9;
const GATEWAYS = 31;
const STEP_MS = 300;
const SPEEDS = [0.7, 0.7, 1.7];
const LOST = createError({ type: 'unavailable', message: 'lost', step: 'gateway.exchange' });

const computeUneven = (index: number): number => 1 / SPEEDS[index % SPEEDS.length]!;

interface World {
  readonly gateways: readonly ServiceSpeeds[];
  /** Runs until a time; each endpoint is measured by one gateway in each step. */
  readonly runUntil: (
    end: number,
    computeTime: (index: number) => number,
    table: SpeedTable | undefined,
  ) => void;
  readonly readFactor: (gateway: number, endpoint: number) => number;
}

const createEndpoint = (index: number) => ({
  id: `e-${index}`,
  startedAt: 1,
  sequence: 1,
  service: 's',
  address: '127.0.0.1:1',
  zone: 'a',
  version: 'v1',
  slots: 8,
  state: 'ready' as const,
  warmupMs: 0,
  models: [],
});

const createWorld = (): World => {
  let now = 0;
  let step = 0;
  const gateways = Array.from({ length: GATEWAYS }, () => createServiceSpeeds(() => 's'));
  const log = pino({ level: 'silent' });
  const topics = gateways.map((speeds) => createSpeedTopic({ speeds, log, readNow: () => now }));
  const callTable = (table: SpeedTable | undefined): void =>
    topics.forEach((topic) => {
      const pending = topic.createReport('c-1');
      if (!pending) return;
      const report = shareSpeedsParams.parse(JSON.parse(JSON.stringify(pending.report)));
      if (table) pending.applyAnswer(table.share(report, now));
      else pending.handleFailure(LOST);
    });
  return {
    gateways,
    runUntil: (end, computeTime, table) => {
      for (; now < end; now += STEP_MS, step += 1) {
        for (let index = 0; index < ENDPOINTS; index += 1) {
          const run = { endpoint: createEndpoint(index), model: 'm' };
          gateways[(index * 7 + step) % GATEWAYS]!.recordEventGap(
            run,
            10 * computeTime(index),
            now,
          );
        }
        callTable(table);
      }
    },
    readFactor: (gateway, endpoint) =>
      gateways[gateway]!.acquire('s').decode.readFactor(`e-${endpoint}|1`, now),
  };
};

// One gateway of 31 measures each endpoint every 9 s here; without sharing it can't tell them apart.
test('speed topic: gateways that measure little know the speeds that all of them measure', (t) => {
  const world = createWorld();
  world.runUntil(30_000, computeUneven, createSpeedTable('t'));
  for (let gateway = 0; gateway < GATEWAYS; gateway += 1) {
    const ratio = world.readFactor(gateway, 0) / world.readFactor(gateway, 2);
    t.true(ratio > 1.9 && ratio < 2.9, `gateway ${gateway}: ${ratio}, true 2.43`);
  }
});

test('speed topic: a slow-down of 4 times is known to all within 1.2 s, and its end', (t) => {
  const world = createWorld();
  const table = createSpeedTable('t');
  const computeSlow = (index: number): number => (index === 0 ? 4 : 1);
  world.runUntil(30_000, () => 1, table);
  world.runUntil(31_200, computeSlow, table);
  for (let gateway = 0; gateway < GATEWAYS; gateway += 1) {
    const factor = world.readFactor(gateway, 0);
    t.true(factor > 1.7, `gateway ${gateway}: ${factor}`);
  }
  world.runUntil(32_400, () => 1, table);
  for (let gateway = 0; gateway < GATEWAYS; gateway += 1) {
    const factor = world.readFactor(gateway, 0);
    t.true(factor < 1.3, `gateway ${gateway}: ${factor}`);
  }
});

test('speed topic: a gateway uses its own samples while the exchange is cut off', (t) => {
  const world = createWorld();
  world.runUntil(30_000, computeUneven, createSpeedTable('t'));
  world.runUntil(34_000, computeUneven, undefined);
  const [speeds] = world.gateways;
  const own = speeds!.acquire('s').decode.find('e-0|1', 34_000);
  t.true(own === undefined || own.samples < 6, JSON.stringify(own));
  // A new leader has an empty table; the gateway asks it for everything.
  const table = createSpeedTable('next');
  world.runUntil(70_000, computeUneven, table);
  const ratio = world.readFactor(0, 0) / world.readFactor(0, 2);
  t.true(ratio > 1.9 && ratio < 2.9, String(ratio));
});

// A warning is logged for each call without an answer.
test('speed topic: a control host without the topic is asked ever more rarely', (t) => {
  let now = 0;
  const log = pino({ level: 'silent' });
  const speeds = createServiceSpeeds(() => 's');
  const topic = createSpeedTopic({ speeds, log, readNow: () => now });
  let reports = 0;
  for (; now < 120_000; now += STEP_MS) {
    const pending = topic.createReport('old');
    pending?.handleFailure(LOST);
    reports += pending ? 1 : 0;
  }
  t.true(reports <= 12, `${reports} reports in 2 minutes`);
  t.not(topic.createReport('new'), undefined, 'another control host is asked at once');
});

test('speed table: an answer is bounded and sent once while nothing changes', (t) => {
  const table = createSpeedTable('t');
  const createSample = (index: number) => ({
    endpoint: `e-${index}|1`,
    kind: 'decode' as const,
    logRatio: 0,
  });
  for (let part = 0; part < 4; part += 1) {
    const samples = Array.from({ length: 100 }, (_item, index) => createSample(part * 100 + index));
    table.share({ samples }, part);
  }
  const first = table.share({ samples: [] }, 10);
  t.is(first.speeds.length, 100);
  let { cursor } = first;
  for (let call = 0; call < 3; call += 1) {
    cursor = table.share({ samples: [], cursor }, 10).cursor;
  }
  const samples = Array.from({ length: 100 }, (_item, index) => createSample(index));
  t.deepEqual(table.share({ samples, cursor }, 1_000).speeds, []);
});
