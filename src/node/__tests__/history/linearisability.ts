import type { OperatorRecord } from './types';

interface RegisterState {
  readonly revision: number;
  readonly mark: number;
}

// Gives the state after a record, or nothing where its answer does not fit the state.
const computeNext = (
  state: RegisterState,
  { action }: OperatorRecord,
): RegisterState | undefined => {
  if (action.type === 'read') {
    return action.revision === state.revision && action.mark === state.mark ? state : undefined;
  }
  const isCurrent = action.base === state.revision;
  if (action.answer === 'conflict') return isCurrent ? undefined : state;
  if (isCurrent) return { revision: state.revision + 1, mark: action.mark };
  return action.answer === 'unknown' ? state : undefined;
};

/**
 * Says whether operators' reads and conditional writes fit one order that keeps the order of
 * records which do not overlap (Wing and Gong's search, with visited states remembered).
 */
export const isLinearisable = (
  records: readonly OperatorRecord[],
  first: RegisterState,
): boolean => {
  const visited = new Set<string>();
  const readEnd = (record: OperatorRecord): number => record.endedAt ?? Infinity;

  const canOrder = (open: readonly number[], state: RegisterState): boolean => {
    // A write without an answer may never take effect.
    if (open.every((index) => records[index]!.endedAt === undefined)) return true;
    const key = `${open.join(',')}|${state.revision}|${state.mark}`;
    if (visited.has(key)) return false;
    visited.add(key);
    const earliestEnd = Math.min(...open.map((index) => readEnd(records[index]!)));
    return open
      .filter((index) => records[index]!.startedAt <= earliestEnd)
      .some((index) => {
        const next = computeNext(state, records[index]!);
        return (
          next !== undefined &&
          canOrder(
            open.filter((item) => item !== index),
            next,
          )
        );
      });
  };

  return canOrder([...records.keys()], first);
};
