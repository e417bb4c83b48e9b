import test from 'ava';
import { createEndpointSpeeds, placeRequest, type PlacementCandidate } from '..';
import { createDraw } from './samples';

// Replays a plain service of four endpoints with six slots and a queue of 24 that refuse when full.
// Gateways know the loads of the others as of the last exchange.
const SLOTS = 6;
const QUEUE = 24;
const GATEWAYS = 31;
/** Each of the 31 gateways calls every 310 ms. */
const EXCHANGE_STEP_MS = 10;
const STEP_MS = 2;
const SERVICE_MS = 40;
const TARGET_MS = 150;

interface Run {
  readonly arrivedAt: number;
  readonly gateway: number;
}

interface Replay {
  readonly onTimeShare: number;
  readonly refused: number;
  /** Share of each endpoint in the placements of each second. */
  readonly shares: readonly (readonly number[])[];
}

interface ReplayOptions {
  readonly seconds: number;
  readonly perSecond: number;
  readonly isLearning: boolean;
  readonly computeTime: (index: number, now: number) => number;
}

const runReplay = ({ seconds, perSecond, isLearning, computeTime }: ReplayOptions): Replay => {
  const readDraw = createDraw(5);
  const count = 4;
  const running: (Run & { endsAt: number; startedAt: number })[][] = Array.from(
    { length: count },
    () => [],
  );
  const queues: Run[][] = Array.from({ length: count }, () => []);
  const shares = Array.from({ length: seconds }, () => Array<number>(count).fill(0));
  const shared = createEndpointSpeeds();
  const own = Array.from({ length: GATEWAYS }, () => Array<number>(count).fill(0));
  const reported = own.map((list) => [...list]);
  const seen = own.map((list) => [...list]);
  // Gateways call in turn, so that what they see is up to one interval old.
  const callExchange = (gateway: number): void => {
    reported[gateway] = [...own[gateway]!];
    seen[gateway] = Array.from({ length: count }, (_item, index) =>
      reported.reduce((sum, list, other) => sum + (other === gateway ? 0 : list[index]!), 0),
    );
  };
  let onTime = 0;
  let refused = 0;
  let total = 0;
  const placeOne = (now: number): void => {
    total += 1;
    const gateway = Math.floor(readDraw() * GATEWAYS);
    const candidates: readonly PlacementCandidate[] = Array.from(
      { length: count },
      (_i, index) => ({
        id: `e-${index}`,
        isOwnZone: gateway % count === index,
        slots: SLOTS,
        running: seen[gateway]![index]! + own[gateway]![index]!,
        expectedMs: isLearning ? SERVICE_MS * shared.readFactor(`e-${index}`, now) : undefined,
        isWarmingUp: false,
        isEjected: false,
      }),
    );
    const placement = placeRequest({ candidates, requestId: `${total}` });
    if (placement.type === 'refused') {
      refused += 1;
      return;
    }
    const index = Number(placement.id.slice(2));
    shares[Math.floor(now / 1_000)]![index]! += 1;
    if (running[index]!.length + queues[index]!.length >= SLOTS + QUEUE) {
      refused += 1;
      return;
    }
    own[gateway]![index]! += 1;
    queues[index]!.push({ arrivedAt: now, gateway });
  };
  const advance = (index: number, now: number): void => {
    running[index] = running[index]!.filter(({ arrivedAt, startedAt, endsAt, gateway }) => {
      if (endsAt > now) return true;
      own[gateway]![index]! -= 1;
      if (now - arrivedAt <= TARGET_MS) onTime += 1;
      shared.record({ endpoint: `e-${index}`, kind: 'r', unitMs: now - startedAt }, now);
      return false;
    });
    while (running[index].length < SLOTS && queues[index]!.length > 0) {
      const run = queues[index]!.shift()!;
      const timeMs = SERVICE_MS * computeTime(index, now) * (0.6 + 0.8 * readDraw());
      running[index].push({ ...run, startedAt: now, endsAt: now + timeMs });
    }
  };
  for (let now = 0; now < seconds * 1_000; now += STEP_MS) {
    if (now % EXCHANGE_STEP_MS === 0) callExchange((now / EXCHANGE_STEP_MS) % GATEWAYS);
    for (let index = 0; index < count; index += 1) advance(index, now);
    if (readDraw() < (perSecond * STEP_MS) / 1_000) placeOne(now);
  }
  return {
    onTimeShare: onTime / total,
    refused,
    shares: shares.map((list) => {
      const sum = list.reduce((a, b) => a + b, 0);
      return list.map((value) => value / sum);
    }),
  };
};

const SPEEDS = [0.7, 0.7, 1.7, 0.7];
const computeUneven = (index: number): number => 1 / SPEEDS[index]!;
const LOAD = { seconds: 20, perSecond: 400 };

// With the least count of requests, slow endpoints get as many requests as the fast one.
test('uneven plain service: more answers are on time when the least work left decides', (t) => {
  const learning = runReplay({ ...LOAD, isLearning: true, computeTime: computeUneven });
  const counting = runReplay({ ...LOAD, isLearning: false, computeTime: computeUneven });
  t.log(learning.onTimeShare, counting.onTimeShare, learning.shares.at(-1), counting.shares.at(-1));
  t.true(learning.onTimeShare > counting.onTimeShare + 0.02);
  t.true(learning.refused <= counting.refused);
  t.true(learning.shares.at(-1)![2]! > counting.shares.at(-1)![2]! + 0.03);
});

test('uneven plain service: the shares do not swing', (t) => {
  const { shares } = runReplay({ ...LOAD, isLearning: true, computeTime: computeUneven });
  const fast = shares.slice(5).map((list) => list[2]!);
  t.log(fast.map((share) => share.toFixed(2)).join(' '));
  t.true(Math.max(...fast) - Math.min(...fast) < 0.12);
});

test('uneven plain service: an endpoint that is 4 times as slow loses half of its share, and regains it', (t) => {
  const computeTime = (index: number, now: number): number =>
    index === 1 && now >= 8_000 && now < 12_000 ? 4 : 1;
  const load = { ...LOAD, perSecond: 300 };
  const { shares } = runReplay({ ...load, isLearning: true, computeTime });
  t.log(shares.map((list) => list[1]!.toFixed(2)).join(' '));
  const computeShare = (from: number, to: number): number =>
    shares.slice(from, to).reduce((sum, list) => sum + list[1]!, 0) / (to - from);
  const before = computeShare(2, 8);
  t.true(computeShare(9, 10) < 0.5 * before);
  // With equal endpoints the shares of single seconds swing, as they did before.
  t.true(computeShare(13, 20) > 0.8 * before);
});

// The choice of deployments with equal endpoints must stay as it was.
test('uneven plain service: equal expected times change no choice', (t) => {
  const readDraw = createDraw(9);
  for (let run = 0; run < 2_000; run += 1) {
    const candidates: readonly PlacementCandidate[] = Array.from({ length: 5 }, (_item, index) => ({
      id: `e-${index}`,
      isOwnZone: readDraw() < 0.3,
      slots: 2 + Math.floor(readDraw() * 6),
      running: Math.floor(readDraw() * 12),
      isWarmingUp: readDraw() < 0.1,
      isEjected: readDraw() < 0.1,
    }));
    const known = candidates.map((candidate) => ({ ...candidate, expectedMs: 41.7 }));
    const requestId = `${run}`;
    t.deepEqual(
      placeRequest({ candidates: known, requestId }),
      placeRequest({ candidates, requestId }),
    );
  }
});
