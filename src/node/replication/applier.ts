import type { Entry } from './core';
import type { StateMachine } from './types';

/** The result of applying one entry. */
export type ApplyResult<Result> =
  | { readonly type: 'applied'; readonly id: string; readonly result: Result }
  /** A duplicate of a command that has been applied already. */
  | { readonly type: 'repeated'; readonly id: string }
  /** The command is outside the deduplication window and is never applied. */
  | { readonly type: 'expired'; readonly id: string }
  | { readonly type: 'none' };

/** The state of an applier as stored in a snapshot. */
export interface ApplierState {
  readonly applied: number;
  readonly recent: readonly (readonly [number, string])[];
  readonly machine: unknown;
}

/** Applies committed entries in order and each proposal at most once. */
export interface Applier<Result> {
  readonly applied: () => number;
  readonly apply: (entry: Entry) => ApplyResult<Result>;
  readonly snapshot: () => ApplierState;
  readonly restore: (state: ApplierState) => void;
}

/** Number of log entries within which a repeated proposal is detected. */
export const DEDUPLICATION_WINDOW_ENTRIES = 16_384;

/**
 * Creates an applier. The base of a proposal is the proposer's applied index. A proposal is applied
 * only up to `DEDUPLICATION_WINDOW_ENTRIES` above its base, so the id of an applied proposal is
 * still stored whenever a duplicate of it could be applied.
 */
export const createApplier = <Command, Result>(
  machine: StateMachine<Command, Result>,
): Applier<Result> => {
  let applied = 0;
  let indexes = new Map<string, number>();
  let recent: (readonly [number, string])[] = [];
  let oldest = 0;

  const removeOld = (): void => {
    while (oldest < recent.length && recent[oldest]![0] < applied - DEDUPLICATION_WINDOW_ENTRIES) {
      indexes.delete(recent[oldest]![1]);
      oldest += 1;
    }
    if (oldest < DEDUPLICATION_WINDOW_ENTRIES) return;
    recent = recent.slice(oldest);
    oldest = 0;
  };

  const applyCommand = (entry: Entry): ApplyResult<Result> => {
    const { id, index, base } = entry;
    if (indexes.has(id)) return { type: 'repeated', id };
    if (index - base > DEDUPLICATION_WINDOW_ENTRIES) return { type: 'expired', id };
    indexes.set(id, index);
    recent.push([index, id]);
    const result = machine.apply(index, JSON.parse(entry.data) as Command);
    return { type: 'applied', id, result };
  };

  return {
    applied: () => applied,
    apply: (entry) => {
      if (entry.index !== applied + 1) {
        throw new Error(`cannot apply entry ${entry.index} after entry ${applied}`);
      }
      applied = entry.index;
      const result = entry.kind === 'command' ? applyCommand(entry) : ({ type: 'none' } as const);
      removeOld();
      return result;
    },
    snapshot: () => ({ applied, recent: recent.slice(oldest), machine: machine.snapshot() }),
    restore: (state) => {
      applied = state.applied;
      recent = [...state.recent];
      oldest = 0;
      indexes = new Map(recent.map(([index, id]) => [id, index]));
      machine.restore(state.machine);
    },
  };
};
