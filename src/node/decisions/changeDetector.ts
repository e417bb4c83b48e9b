/** State of a two-sided change detector over one signal. */
export interface DetectorState {
  readonly count: number;
  readonly mean: number;
  readonly squares: number;
  readonly fall: number;
  readonly rise: number;
}

/** What the detector says after an observation. */
export type DetectedChange = 'none' | 'fall' | 'rise';

/** A detector that knows nothing yet. */
export const EMPTY_DETECTOR: DetectorState = { count: 0, mean: 0, squares: 0, fall: 0, rise: 0 };

const WARM_UP_SAMPLES = 20;
/** Half of the smallest change that matters, in standard deviations. */
const ALLOWANCE = 0.5;
/** With this limit and allowance a false alarm comes about once in a million observations. */
const LIMIT = 12;
const LARGEST_STEP = 3;
const SMALLEST_DEVIATION = 0.02;
/** Observations after which the reference stops moving with the newest ones. */
const REFERENCE_SAMPLES = 400;

const updateReference = (state: DetectorState, value: number): DetectorState => {
  const count = Math.min(REFERENCE_SAMPLES, state.count + 1);
  const delta = value - state.mean;
  const mean = state.mean + delta / count;
  const squares =
    state.count < REFERENCE_SAMPLES
      ? state.squares + delta * (value - mean)
      : state.squares * (1 - 1 / count) + delta * (value - mean);
  return { ...state, count, mean, squares };
};

/** Moves a cumulative-sum detector on by one observation; after a change it begins anew. */
export const advanceDetector = (
  state: DetectorState,
  value: number,
): { readonly state: DetectorState; readonly change: DetectedChange } => {
  if (state.count < WARM_UP_SAMPLES)
    return { state: updateReference(state, value), change: 'none' };
  const deviation = Math.max(SMALLEST_DEVIATION, Math.sqrt(state.squares / state.count));
  const raw = (value - state.mean) / deviation;
  const step = Math.max(-LARGEST_STEP, Math.min(LARGEST_STEP, raw));
  const fall = Math.max(0, state.fall - step - ALLOWANCE);
  const rise = Math.max(0, state.rise + step - ALLOWANCE);
  if (fall > LIMIT) return { state: EMPTY_DETECTOR, change: 'fall' };
  if (rise > LIMIT) return { state: EMPTY_DETECTOR, change: 'rise' };
  return { state: { ...updateReference(state, value), fall, rise }, change: 'none' };
};
