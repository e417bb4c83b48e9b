import type { Entry } from './core';
import type { StateMachine } from './types';

/** What applying one entry gave. */
export type ApplyResult<Result> =
  | { readonly type: 'applied'; readonly id: string; readonly result: Result }
  /** A copy of a command that was applied before. */
  | { readonly type: 'repeated'; readonly id: string }
  /** The command came too late to be told from a copy, and is never applied. */
  | { readonly type: 'expired'; readonly id: string }
  | { readonly type: 'none' };

/** The state of an applier in a snapshot. */
export interface ApplierState {
  readonly applied: number;
  readonly recent: readonly (readonly [number, string])[];
  readonly machine: unknown;
}

/** Applies committed entries in order, each proposal at most once. */
export interface Applier<Result> {
  readonly applied: () => number;
  readonly apply: (entry: Entry) => ApplyResult<Result>;
  readonly snapshot: () => ApplierState;
  readonly restore: (state: ApplierState) => void;
}

/** Log indexes over which a repeated proposal is recognised. */
export const DEDUPLICATION_WINDOW_ENTRIES = 16_384;

/**
 * Creates an applier. A proposal carries the proposer's applied index as its base and is applied
 * only within `REPEAT_WINDOW` above it, so a copy of an applied one is always still remembered.
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
        throw new Error(`entry ${entry.index} follows ${applied}`);
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
