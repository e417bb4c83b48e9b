import { createLearning } from '../../src/node/decisions';
import type { Rollout } from '../../src/node/view';
import { createRandomSource } from './randomSource';
import {
  readTrueMean,
  sampleByShare,
  sampleDifficulty,
  sampleQuality,
  sampleRating,
  type World,
} from './worlds';

const ENTRIES = 3;
const RATING_SHARE = 0.1;
const MISSING_SHARE = 0.1;
const DAY_MS = 86_400_000;
const MODEL = 'medium';

/** The result for a version with a quality drop one day after its roll-out. */
export interface LateDropResult {
  /**
   * Requests between the drop and the first alarm of an entry, as a fraction of one day's requests.
   * Absent if there was no alarm after the drop.
   */
  readonly exposure?: number;
  /** True when an alarm came before the drop. */
  readonly isFalse: boolean;
}

/** Simulates two days after a finished roll-out. The quality drops after the first day. */
export const runLateDrop = (world: World, dropFraction: number, seed: number): LateDropResult => {
  const draws = createRandomSource(seed);
  const rollout: Rollout = {
    id: 'late',
    model: MODEL,
    from: 'v1',
    to: 'v2',
    step: 7,
    state: 'done',
    reason: '',
  };
  const learnings = Array.from({ length: ENTRIES }, () =>
    createLearning({ halfLifeMs: DAY_MS, falseBrakeRate: 0.005 }),
  );
  const perDay = world.requestsPerDay;
  for (let index = 0; index < 2 * perDay; index += 1) {
    const now = (index / perDay) * DAY_MS;
    const task = sampleByShare(draws, world.tasks);
    const organisation = sampleByShare(draws, world.organisations);
    const learning = learnings[Math.floor(draws.uniform() * ENTRIES)]!;
    const factor = index < perDay ? 1 : 1 - dropFraction;
    const mean = readTrueMean(task, organisation, MODEL) * factor;
    const quality = sampleQuality(draws, mean, sampleDifficulty(draws));
    if (draws.uniform() >= RATING_SHARE * (1 - MISSING_SHARE)) continue;
    learning.record({
      name: {
        organisation: organisation.name,
        task: task.name,
        model: MODEL,
        version: rollout.to,
        isEscalated: false,
      },
      isHighValue: task.isHighValue,
      observation: { type: 'rated', score: sampleRating(draws, quality) },
      rollout,
      now,
    });
    if (learning.findHaltReason(rollout) === undefined) continue;
    if (index < perDay) return { isFalse: true };
    return { exposure: (index - perDay) / perDay, isFalse: false };
  }
  return { isFalse: false };
};
