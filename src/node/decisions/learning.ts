import type { Rollout } from '../view';
import { advanceDetector, EMPTY_DETECTOR, type DetectorState } from './changeDetector';
import { formatRolloutName } from './chooseVersion';
import { createEstimates, type CellName, type Estimates } from './estimates';
import { findRolloutRegression, type RolloutCell } from './rollout';
import { addObservation, EMPTY_TALLY, mergeTallies, type Observation } from './tally';

/** Observations of one process about a roll-out since its start. */
export interface RolloutReport {
  /** Name of the roll-out, from `formatRolloutName`. */
  readonly name: string;
  readonly cells: readonly RolloutCell[];
  /** Reason why this process has stopped giving sessions to the new version, if it has. */
  readonly brake?: string;
}

/** One observation with its cell and roll-out. */
export interface LearningEvent {
  readonly name: CellName;
  readonly isHighValue: boolean;
  readonly observation: Observation;
  /** The roll-out of the model, if there is one. */
  readonly rollout?: Rollout;
  readonly now: number;
}

/** Online statistics of one process: estimates, change detection and roll-out comparisons. */
export interface Learning {
  readonly estimates: Estimates;
  readonly record: (event: LearningEvent) => void;
  /** Returns the reason why this process has halted a roll-out, if it has. */
  readonly findHaltReason: (rollout: Rollout) => string | undefined;
  readonly listRollouts: () => readonly RolloutReport[];
  /** Replaces the false halt rate of this process, which depends on the number of entries. */
  readonly updateFalseHaltRate: (rate: number) => void;
  /** Removes the state of all roll-outs except the given ones. */
  readonly removeOtherRollouts: (rollouts: readonly Rollout[]) => void;
}

/** Options of `createLearning`. */
export interface LearningOptions {
  readonly halfLifeMs: number;
  /** Probability that this process halts a roll-out of a version as good as the previous one. */
  readonly falseBrakeRate: number;
}

interface RolloutState {
  readonly cells: Map<string, RolloutCell>;
  haltReason: string | undefined;
}

/**
 * Fraction of the false halt rate that all entries use together; the control host uses the rest.
 */
export const ENTRY_HALT_FRACTION = 0.3;

/** Weight of past observations after a change was detected. */
const WEIGHT_AFTER_CHANGE = 0.1;

/** Formats the key of a cell of a roll-out. */
export const formatRolloutCell = (cell: Pick<RolloutCell, 'organisation' | 'task'>): string =>
  `${cell.organisation}|${cell.task}`;

/** Finds the arm of a roll-out that a version belongs to. */
export const findArm = (
  rollout: Rollout,
  version: string,
): 'candidate' | 'baseline' | undefined => {
  if (version === rollout.to) return 'candidate';
  return version === rollout.from ? 'baseline' : undefined;
};

/** Creates the online statistics of a process without observations. */
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
    const state: RolloutState = { cells: new Map(), haltReason: undefined };
    rollouts.set(name, state);
    return state;
  };

  const recordRollout = (event: LearningEvent, rollout: Rollout): void => {
    const { name, isHighValue, observation } = event;
    const arm = findArm(rollout, name.version);
    if (!arm || name.isEscalated) return;
    const state = acquireRollout(rollout);
    const { organisation, task } = name;
    const key = formatRolloutCell({ organisation, task });
    const empty = { candidate: EMPTY_TALLY, baseline: EMPTY_TALLY };
    const cell = state.cells.get(key) ?? { organisation, task, isHighValue, ...empty };
    state.cells.set(key, { ...cell, [arm]: addObservation(cell[arm], observation) });
    const isDecided = state.haltReason !== undefined || rollout.state === 'done';
    if (arm === 'candidate' && !isDecided) {
      state.haltReason = findRolloutRegression([...state.cells.values()], falseBrakeRate);
    }
  };

  const record: Learning['record'] = (event) => {
    const { name, observation, rollout, now } = event;
    estimates.record(name, observation, now);
    if (rollout) recordRollout(event, rollout);
    if (observation.type !== 'rated' || name.isEscalated) return;
    const hasFallen = recordChange(name, observation.score, now);
    // When a version degrades after its roll-out, traffic returns to the previous version.
    if (hasFallen && rollout?.state === 'done' && name.version === rollout.to) {
      acquireRollout(rollout).haltReason = 'quality fell after the roll-out';
    }
  };

  return {
    estimates,
    record,
    findHaltReason: (rollout) => rollouts.get(formatRolloutName(rollout))?.haltReason,
    listRollouts: () =>
      [...rollouts].map(([name, state]) => ({
        name,
        cells: [...state.cells.values()],
        brake: state.haltReason,
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

/** Merges the cells of a roll-out from several processes. */
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
