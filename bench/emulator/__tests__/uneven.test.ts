import { fileURLToPath } from 'node:url';
import test from 'ava';
import { runEmulation, type Placement } from '../emulate';
import { readPattern, type Pattern } from '../pattern';

const uneven: Pattern = {
  ...readPattern(fileURLToPath(new URL('../patterns/uneven.jsonc', import.meta.url))),
  seconds: 20,
};
const SEED = 3;
const FAST_SPEED = 1;

const listPlacements = (pattern: Pattern, load: number): readonly Placement[] =>
  runEmulation({ pattern, policy: 'live', load, seed: SEED }).outcomes.flatMap(
    ({ placements }) => placements,
  );

// A third of the engines has 0.55 of the speed. By queues alone they got 0.37 of the prefill.
test('uneven engines: fast ones get more of the prefill', (t) => {
  const { speeds = [] } = uneven.engine;
  const later = listPlacements(uneven, 0.5).filter(({ at }) => at > 10_000);
  const countTokens = (list: readonly Placement[]): number =>
    list.reduce((sum, { prefillTokens }) => sum + prefillTokens, 0);
  const fast = later.filter(
    ({ endpoint }) => speeds[Number(endpoint.slice(2)) % speeds.length]! > FAST_SPEED,
  );
  const share = countTokens(fast) / countTokens(later);
  t.true(share > 0.44 && share < 0.65, `${share} of the prefill`);
});

// Three engines become 4 times as slow, so that their share shows in a few seconds.
test('uneven engines: slow ones lose half of their share after a second, and regain it', (t) => {
  const SLOW = 3;
  const engine = { ...uneven.engine, speeds: undefined, slowdowns: undefined };
  const slowEngines = { count: SLOW, at: 12, seconds: 4, factor: 4 };
  const list = listPlacements({ ...uneven, seconds: 24, engine, slowEngines }, 0.5);
  const computeShare = (from: number, to: number): number => {
    const within = list.filter(({ at }) => at >= from && at < to);
    const slow = within.filter(({ endpoint }) => Number(endpoint.slice(2)) < SLOW);
    return slow.length / within.length;
  };
  const before = computeShare(4_000, 12_000);
  const during = computeShare(13_000, 16_000);
  const after = computeShare(17_000, 24_000);
  t.log({ before, during, after });
  t.true(during < 0.5 * before, `Share ${before} before, ${during} during`);
  t.true(after > 0.75 * before, `Share ${before} before, ${after} after`);
});
