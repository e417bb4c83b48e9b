import {
  ENTRY_HALT_FRACTION,
  computeRatedShare,
  computeShare,
  countSteps,
  createLearning,
  isInShare,
  judgeRollout,
  mergeRolloutCells,
  type CellName,
  type Learning,
  type RolloutRules,
  type RolloutVerdict,
} from '../../src/node/decisions';
import type { Rollout } from '../../src/node/view';
import { createRandomSource } from './randomSource';
import {
  readTrueMean,
  sampleByShare,
  sampleDifficulty,
  sampleQuality,
  sampleRating,
  type World,
  type WorldTask,
} from './worlds';

const DAY_MS = 86_400_000;
const ENTRIES = 3;
const RATING_SHARE = 0.1;
const MISSING_SHARE = 0.1;
const RATING_DELAY_MS = 60_000;
const MODEL = 'medium';
const REQUESTS_PER_SESSION = 3;

/** The default roll-out rules of an inventory. */
export const RULES: RolloutRules = {
  steps: [0.01, 0.05, 0.25, 1],
  minSamplesPerStep: 50,
  toleratedFall: 0.05,
  falseHaltRate: 0.05,
};

/** The drop in quality from the old version to the new one. */
export interface QualityDrop {
  readonly title: string;
  /** Fraction of the quality that is lost. */
  readonly fraction: number;
  /** The affected organisation or task; absent means all. */
  readonly organisation?: string;
  readonly task?: string;
}

/** The result of one roll-out. */
export interface ExposureResult {
  readonly isWithdrawn: boolean;
  readonly isFinished: boolean;
  /** Requests that ran on the new version, as a fraction of one day's requests. */
  readonly exposure: number;
  /** The same fraction for high-value requests only. */
  readonly highValueExposure: number;
  readonly hours: number;
  readonly step: number;
  readonly reason: string;
}

interface PendingRating {
  readonly dueAt: number;
  readonly learning: Learning;
  readonly name: CellName;
  readonly isHighValue: boolean;
  readonly score: number;
  readonly isNew: boolean;
}

const isAffected = (drop: QualityDrop, organisation: string, task: WorldTask): boolean =>
  (drop.organisation === undefined || drop.organisation === organisation) &&
  (drop.task === undefined || drop.task === task.name);

const MAX_DAYS = 5;

/**
 * Runs one roll-out on one site. Every request of the site goes to the model that is rolled out.
 */
export const runExposure = (
  world: World,
  drop: QualityDrop,
  seed: number,
  days = MAX_DAYS,
): ExposureResult => {
  const draws = createRandomSource(seed);
  const falseBrakeRate = (RULES.falseHaltRate * ENTRY_HALT_FRACTION) / ENTRIES;
  const falseHaltRate = RULES.falseHaltRate * (1 - ENTRY_HALT_FRACTION);
  const learnings = Array.from({ length: ENTRIES }, () =>
    createLearning({ halfLifeMs: DAY_MS, falseBrakeRate }),
  );
  let rollout: Rollout = {
    id: `rollout-${seed}`,
    model: MODEL,
    from: 'v1',
    to: 'v2',
    step: 0,
    state: 'running',
    reason: '',
  };
  let pending: PendingRating[] = [];
  let exposed = 0;
  let highValueExposed = 0;
  let now = 0;
  let hasNewRatings = false;
  const perDay = world.requestsPerDay;
  const highShare = world.tasks
    .filter((task) => task.isHighValue)
    .reduce((sum, task) => sum + task.share, 0);
  const highValuePerDay = perDay * highShare;

  const judge = (): void => {
    hasNewRatings = false;
    const haltReason = learnings
      .map((learning) => learning.findHaltReason(rollout))
      .find((reason) => reason !== undefined);
    const cells = mergeRolloutCells(
      learnings.flatMap((learning) => learning.listRollouts().map((report) => report.cells)),
    );
    const verdict: RolloutVerdict =
      haltReason !== undefined
        ? { type: 'withdraw', reason: `halted by an entry: ${haltReason}` }
        : judgeRollout({ ...RULES, falseHaltRate }, rollout.step, cells);
    if (verdict.type === 'withdraw') {
      const { reason } = verdict;
      rollout = { ...rollout, state: 'aborted', reason };
    }
    if (verdict.type === 'finish') rollout = { ...rollout, state: 'done' };
    if (verdict.type === 'advance') rollout = { ...rollout, step: rollout.step + 1 };
  };

  const applyRatings = (): void => {
    const due = pending.filter((item) => item.dueAt <= now);
    if (due.length === 0) return;
    pending = pending.filter((item) => item.dueAt > now);
    due.forEach(({ learning, name, isHighValue, score, isNew }) => {
      const observation = { type: 'rated', score } as const;
      learning.record({ name, isHighValue, observation, rollout, now });
      hasNewRatings = hasNewRatings || isNew;
    });
  };

  for (let index = 0; index < perDay * days && rollout.state === 'running'; index += 1) {
    now = (index / perDay) * DAY_MS;
    applyRatings();
    if (hasNewRatings) judge();
    if (rollout.state !== 'running') break;
    const task = sampleByShare(draws, world.tasks);
    const organisation = sampleByShare(draws, world.organisations);
    const zone = world.zones[Math.floor(draws.uniform() * world.zones.length)]!;
    const learning = learnings[Math.floor(draws.uniform() * ENTRIES)]!;
    const share = computeShare(RULES.steps, rollout.step, task.isHighValue);
    const session = `s${Math.floor(index / REQUESTS_PER_SESSION)}`;
    const shareInput = { rollout: rollout.id!, organisation: organisation.name, zone, session };
    const isHalted = learning.findHaltReason(rollout) !== undefined;
    const isNew = !isHalted && isInShare(shareInput, share);
    if (isNew) exposed += 1;
    if (isNew && task.isHighValue) highValueExposed += 1;
    const isWorse = isNew && isAffected(drop, organisation.name, task);
    const mean = readTrueMean(task, organisation, MODEL) * (isWorse ? 1 - drop.fraction : 1);
    const quality = sampleQuality(draws, mean, sampleDifficulty(draws));
    const ratedShare = isNew ? computeRatedShare(share, RATING_SHARE) : RATING_SHARE;
    if (draws.uniform() >= ratedShare || draws.uniform() < MISSING_SHARE) continue;
    const score = sampleRating(draws, quality);
    const name = {
      organisation: organisation.name,
      task: task.name,
      model: MODEL,
      version: isNew ? rollout.to : rollout.from,
      isEscalated: false,
    };
    const { isHighValue } = task;
    const dueAt = now + draws.exponential(RATING_DELAY_MS);
    pending.push({ dueAt, learning, name, isHighValue, score, isNew });
  }
  return {
    isWithdrawn: rollout.state === 'aborted',
    isFinished: rollout.state === 'done' || rollout.step >= countSteps(RULES.steps),
    exposure: exposed / perDay,
    highValueExposure: highValueExposed / highValuePerDay,
    hours: now / 3_600_000,
    step: rollout.step,
    reason: rollout.reason,
  };
};
