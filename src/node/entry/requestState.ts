import type { Outcome } from '../errors';
import type { AttemptReport, Usage } from '../ledger';

/**
 * Phase of an attempt, as its entry knows it. `sent`: may run. `never`: has not run and never
 * will. `unknown`: may have run or may still run.
 */
export type AttemptPhase = 'sent' | 'never' | 'ran' | 'unknown';

/** An attempt as its entry knows it. */
export interface TrackedAttempt {
  readonly attempt: number;
  readonly address: string;
  readonly agent: string;
  readonly incarnation: number;
  readonly model: string;
  readonly version: string;
  readonly phase: AttemptPhase;
  readonly usage?: Usage;
}

/** The attempts of one request, in order. */
export interface RequestState {
  readonly attempts: readonly TrackedAttempt[];
}

/** Change to an attempt at its end. */
export interface AttemptChange {
  readonly phase: AttemptPhase;
  readonly usage?: Usage;
}

/** State of a request without attempts. */
export const EMPTY_REQUEST_STATE: RequestState = { attempts: [] };

/** Adds an attempt that is about to be sent. */
export const addTracked = (
  state: RequestState,
  attempt: Omit<TrackedAttempt, 'phase' | 'usage'>,
): RequestState => ({ attempts: [...state.attempts, { ...attempt, phase: 'sent' }] });

// `ran` is final. `never` is confirmed by the agent, so it is final too.
const mergeChange = (known: TrackedAttempt, change: AttemptChange): TrackedAttempt => {
  const isFinal = known.phase === 'ran' || known.phase === 'never';
  const phase = isFinal ? known.phase : change.phase;
  return { ...known, phase, usage: known.usage ?? change.usage };
};

/** Applies the end of an attempt to the state. */
export const updateTracked = (
  state: RequestState,
  attempt: number,
  change: AttemptChange,
): RequestState => ({
  attempts: state.attempts.map((item) =>
    item.attempt === attempt ? mergeChange(item, change) : item,
  ),
});

/** Lists the attempts that may still run or start. */
export const listUnresolved = (state: RequestState): readonly TrackedAttempt[] =>
  state.attempts.filter((item) => item.phase === 'sent' || item.phase === 'unknown');

/** Computes the outcome of a request: `not_run` only if no attempt has run or can still run. */
export const computeOutcome = (state: RequestState): Outcome => {
  const phases = state.attempts.map((item) => item.phase);
  if (phases.every((phase) => phase === 'never')) return 'not_run';
  return phases.includes('ran') ? 'ran' : 'unknown';
};

/** Returns whether another attempt may be sent. */
export const canRepeat = (state: RequestState, idempotent: boolean): boolean =>
  idempotent || computeOutcome(state) === 'not_run';

/** Lists the reports on the attempts for the ledger. */
export const listReports = (state: RequestState): readonly AttemptReport[] =>
  state.attempts.map(({ attempt, agent, incarnation, model, version, phase, usage }) => ({
    attempt,
    agent,
    incarnation,
    model,
    version,
    outcome: phase === 'sent' ? 'unknown' : phase,
    usage,
  }));
