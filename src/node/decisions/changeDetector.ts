/** State of a two-sided CUSUM change detector over one signal. */
export interface DetectorState {
  readonly count: number;
  readonly mean: number;
  readonly squaredDeviations: number;
  /** Cumulative sum for a decrease of the mean. */
  readonly fall: number;
  /** Cumulative sum for an increase of the mean. */
  readonly rise: number;
}

/** Result of the detector after an observation. */
export type DetectedChange = 'none' | 'fall' | 'rise';

/** The state of a detector before its first observation. */
export const EMPTY_DETECTOR: DetectorState = {
  count: 0,
  mean: 0,
  squaredDeviations: 0,
  fall: 0,
  rise: 0,
};

const WARM_UP_SAMPLES = 20;
/** Half of the smallest change to detect, in standard deviations. */
const ALLOWANCE = 0.5;
/** With this threshold and allowance there is about one false alarm per million observations. */
const ALARM_THRESHOLD = 12;
const MAX_STEP = 3;
const MIN_DEVIATION = 0.02;
/** Window of the reference mean and deviation; beyond it, old observations are discounted. */
const REFERENCE_WINDOW_SAMPLES = 400;

const updateReference = (state: DetectorState, value: number): DetectorState => {
  const count = Math.min(REFERENCE_WINDOW_SAMPLES, state.count + 1);
  const delta = value - state.mean;
  const mean = state.mean + delta / count;
  const squares =
    state.count < REFERENCE_WINDOW_SAMPLES
      ? state.squaredDeviations + delta * (value - mean)
      : state.squaredDeviations * (1 - 1 / count) + delta * (value - mean);
  return { ...state, count, mean, squaredDeviations: squares };
};

/** Adds one observation to a CUSUM detector. A detected change resets the state. */
export const advanceDetector = (
  state: DetectorState,
  value: number,
): { readonly state: DetectorState; readonly change: DetectedChange } => {
  if (state.count < WARM_UP_SAMPLES)
    return { state: updateReference(state, value), change: 'none' };
  const deviation = Math.max(MIN_DEVIATION, Math.sqrt(state.squaredDeviations / state.count));
  const raw = (value - state.mean) / deviation;
  const step = Math.max(-MAX_STEP, Math.min(MAX_STEP, raw));
  const fall = Math.max(0, state.fall - step - ALLOWANCE);
  const rise = Math.max(0, state.rise + step - ALLOWANCE);
  if (fall > ALARM_THRESHOLD) return { state: EMPTY_DETECTOR, change: 'fall' };
  if (rise > ALARM_THRESHOLD) return { state: EMPTY_DETECTOR, change: 'rise' };
  return { state: { ...updateReference(state, value), fall, rise }, change: 'none' };
};
