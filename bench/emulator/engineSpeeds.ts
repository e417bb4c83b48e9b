import murmurhash from 'murmurhash';
import type { Clock } from './clock';
import type { Pattern } from './pattern';

const HASH_RANGE = 2 ** 32;

/** Creates the time factor of an engine, which is a function of the seed and the time only. */
export const createTimeFactor = (
  clock: Clock,
  { engine: { speeds = [1], slowdowns }, slowEngines }: Pattern,
  index: number,
  seed: number,
): (() => number) => {
  const usual = 1 / speeds[index % speeds.length]!;
  const computeNoise = (now: number): number => {
    if (!slowdowns) return 1;
    const { probability, factor, periodMs } = slowdowns;
    const period = Math.floor(now / periodMs + index / speeds.length);
    const draw = murmurhash.v3(`${seed}|${index}|${period}`) / HASH_RANGE;
    return draw < probability ? factor : 1;
  };
  const computeSlowdown = (now: number): number => {
    if (!slowEngines || index >= slowEngines.count) return 1;
    const { at, seconds, factor } = slowEngines;
    return now >= at * 1_000 && now < (at + seconds) * 1_000 ? factor : 1;
  };
  return () => {
    const now = clock.readNow();
    return usual * computeNoise(now) * computeSlowdown(now);
  };
};
