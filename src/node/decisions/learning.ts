import type { Rollout } from '../view';
import { advanceDetector, EMPTY_DETECTOR, type DetectorState } from './changeDetector';
import { formatRolloutName } from './chooseVersion';
import { createEstimates, type CellName, type Estimates } from './estimates';
import { findRolloutRegression, type RolloutCell } from './rollout';
import { addObservation, EMPTY_TALLY, mergeTallies, type Observation } from './tally';

/** What a process saw of one roll-out since it began. */
export interface RolloutReport {
  /** The roll-out's name. */
  readonly name: string;
  readonly cells: readonly RolloutCell[];
  /** Why this process gives the new version no more sessions, if it does so. */
  readonly brake?: string;
}

/** One observation with all that it belongs to. */
export interface LearningEvent {
  readonly name: CellName;
  readonly isHighValue: boolean;
  readonly observation: Observation;
  /** The roll-out of the model, if there is one. */
  readonly rollout?: Rollout;
  readonly now: number;
}

/** Everything that one process learns from its own requests and from others. */
export interface Learning {
  readonly estimates: Estimates;
  readonly record: (event: LearningEvent) => void;
  /** Says why a roll-out is stopped here, if it is. */
  readonly findHaltReason: (rollout: Rollout) => string | undefined;
  readonly listRollouts: () => readonly RolloutReport[];
  /** Puts another false brake rate in force, as the number of entries changes. */
  readonly updateFalseHaltRate: (rate: number) => void;
  /** Forgets the roll-outs that are not among the given ones. */
  readonly removeOtherRollouts: (rollouts: readonly Rollout[]) => void;
}

/** Options of what a process learns. */
export interface LearningOptions {
  readonly halfLifeMs: number;
  /** Chance of stopping a roll-out here although the version is as good as the other. */
  readonly falseBrakeRate: number;
}

interface RolloutState {
  readonly cells: Map<string, RolloutCell>;
  haltReason: string | undefined;
}

/** Part of the false halt rate that all entries' brakes use up together; control uses the rest. */
export const ENTRY_HALT_FRACTION = 0.3;

/** Part of the past that stays after a change was detected. */
const WEIGHT_AFTER_CHANGE = 0.1;

/** Formats the key of a cell of a roll-out. */
export const formatRolloutCell = (cell: Pick<RolloutCell, 'organisation' | 'task'>): string =>
  `${cell.organisation}|${cell.task}`;

/** Finds which side of a roll-out a version is on. */
export const findArm = (
  rollout: Rollout,
  version: string,
): 'candidate' | 'baseline' | undefined => {
  if (version === rollout.to) return 'candidate';
  return version === rollout.from ? 'baseline' : undefined;
};

/** Creates what a process knows before its first request. */
export const createLearning = (options: LearningOptions): Learning => {
  const { halfLifeMs } = options;
  let { falseBrakeRate } = options;
  const estimates = createEstimates({ halfLifeMs });
  const detectors = new Map<string, DetectorState>();
  const rollouts = new Map<string, RolloutState>();

  const recordChange = (name: CellName, score: number, now: number): boolean => {
    const key = `${name.model}@${name.version}`;
    const { state, change } = advanceDetector(detectors.get(key) ?? EMPTY_DETECTOR, score);
    detectors.set(key, state);
    if (change === 'none') return false;
    estimates.applyPastWeight(name.model, name.version, WEIGHT_AFTER_CHANGE, now);
    return change === 'fall';
  };

  const acquireRollout = (rollout: Rollout): RolloutState => {
    const name = formatRolloutName(rollout);
    const known = rollouts.get(name);
    if (known) return known;
    const slot: RolloutState = { cells: new Map(), haltReason: undefined };
    rollouts.set(name, slot);
    return slot;
  };

  const recordRollout = (event: LearningEvent, rollout: Rollout): void => {
    const { name, isHighValue, observation } = event;
    const arm = findArm(rollout, name.version);
    if (!arm || name.isEscalated) return;
    const slot = acquireRollout(rollout);
    const { organisation, task } = name;
    const key = formatRolloutCell({ organisation, task });
    const empty = { candidate: EMPTY_TALLY, baseline: EMPTY_TALLY };
    const cell = slot.cells.get(key) ?? { organisation, task, isHighValue, ...empty };
    slot.cells.set(key, { ...cell, [arm]: addObservation(cell[arm], observation) });
    const isDecided = slot.haltReason !== undefined || rollout.state === 'done';
    if (arm === 'candidate' && !isDecided) {
      slot.haltReason = findRolloutRegression([...slot.cells.values()], falseBrakeRate);
    }
  };

  const record: Learning['record'] = (event) => {
    const { name, observation, rollout, now } = event;
    estimates.record(name, observation, now);
    if (rollout) recordRollout(event, rollout);
    if (observation.type !== 'rated' || name.isEscalated) return;
    const hasFallen = recordChange(name, observation.score, now);
    // A version that turned bad after its roll-out goes back to the one before it.
    if (hasFallen && rollout?.state === 'done' && name.version === rollout.to) {
      acquireRollout(rollout).haltReason = 'quality fell after the roll-out';
    }
  };

  return {
    estimates,
    record,
    findHaltReason: (rollout) => rollouts.get(formatRolloutName(rollout))?.haltReason,
    listRollouts: () =>
      [...rollouts].map(([name, slot]) => ({
        name,
        cells: [...slot.cells.values()],
        brake: slot.haltReason,
      })),
    updateFalseHaltRate: (rate) => {
      falseBrakeRate = rate;
    },
    removeOtherRollouts: (kept) => {
      const names = new Set(kept.map(formatRolloutName));
      for (const name of [...rollouts.keys()]) if (!names.has(name)) rollouts.delete(name);
    },
  };
};

const mergeArms = (a: RolloutCell, b: RolloutCell): RolloutCell => ({
  ...a,
  candidate: mergeTallies(a.candidate, b.candidate),
  baseline: mergeTallies(a.baseline, b.baseline),
});

/** Joins what several processes saw of one roll-out. */
export const mergeRolloutCells = (
  lists: readonly (readonly RolloutCell[])[],
): readonly RolloutCell[] => {
  const merged = new Map<string, RolloutCell>();
  for (const cell of lists.flat()) {
    const key = formatRolloutCell(cell);
    const known = merged.get(key);
    merged.set(key, known ? mergeArms(known, cell) : cell);
  }
  return [...merged.values()];
};
