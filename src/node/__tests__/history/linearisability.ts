import type { OperatorRecord } from './types';

interface RegisterState {
  readonly revision: number;
  readonly mark: number;
}

// Returns the state after a record, or undefined if its answer does not match the state. A write
// without an answer that had no effect is treated like a write that has not been applied yet.
const computeNextState = (
  state: RegisterState,
  { action }: OperatorRecord,
): RegisterState | undefined => {
  if (action.type === 'read') {
    return action.revision === state.revision && action.mark === state.mark ? state : undefined;
  }
  const isCurrent = action.base === state.revision;
  if (action.answer === 'conflict') return isCurrent ? undefined : state;
  return isCurrent ? { revision: state.revision + 1, mark: action.mark } : undefined;
};

const listNextCandidates = (open: readonly OperatorRecord[]): readonly OperatorRecord[] => {
  const earliestEnd = Math.min(...open.map((record) => record.endedAt ?? Infinity));
  return open.filter((record) => record.startedAt <= earliestEnd);
};

/**
 * Checks whether the operators' reads and conditional writes are linearisable: some order explains
 * all answers and preserves the order of records that do not overlap. Uses the search of Wing and
 * Gong and remembers visited states.
 */
export const isLinearisable = (
  records: readonly OperatorRecord[],
  first: RegisterState,
): boolean => {
  const visited = new Set<string>();

  const canOrder = (open: readonly OperatorRecord[], state: RegisterState): boolean => {
    if (open.every((record) => record.endedAt === undefined)) return true;
    const key = `${open.map((record) => records.indexOf(record)).join(',')}|${state.mark}`;
    if (visited.has(key)) return false;
    visited.add(key);
    const candidates = listNextCandidates(open);
    const canFollow = (record: OperatorRecord): boolean => {
      const next = computeNextState(state, record);
      const others = open.filter((item) => item !== record);
      return next !== undefined && canOrder(others, next);
    };
    // A record that matches the state and does not change it can always come first.
    const neutral = candidates.find((record) => computeNextState(state, record) === state);
    return neutral ? canFollow(neutral) : candidates.some(canFollow);
  };

  return canOrder(records, first);
};
