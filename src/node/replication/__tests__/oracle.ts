import type { Entry } from '../core';

/** Records what all nodes do and detects violations of the safety properties. */
export const createOracle = () => {
  const violations: string[] = [];
  const leaders = new Map<number, string>();
  const committed = new Map<number, string>();
  const states = new Map<number, number>();
  const appliedValues = new Map<number, number>();
  const refused = new Set<number>();
  let maxApplied = 0;

  const addViolation = (text: string): void => {
    violations.push(text);
  };

  const checkSame = <T>(table: Map<number, T>, key: number, value: T, title: string): void => {
    const known = table.get(key);
    if (known === undefined) table.set(key, value);
    else if (known !== value) addViolation(`${title} ${key}: '${known}' and '${value}'`);
  };

  const counts = {
    accepted: 0,
    refused: 0,
    reads: 0,
    installs: 0,
    lostDisks: 0,
    restoredDisks: 0,
    crashes: 0,
  };

  return {
    violations,
    counts,
    /** Returns the totals of a run, which show that the intended faults occurred. */
    countAll: () => ({ ...counts, terms: leaders.size, entries: committed.size }),
    maxApplied: () => maxApplied,
    hasValue: (value: number) => appliedValues.has(value),
    recordLeader: (term: number, store: string) =>
      checkSame(leaders, term, store, 'two leaders in term'),
    recordApplied: (entry: Entry) => {
      const { index, term, kind, id, data } = entry;
      maxApplied = Math.max(maxApplied, index);
      checkSame(committed, index, `${term} ${kind} ${id} ${data}`, 'two entries at index');
    },
    recordState: (index: number, hash: number) => {
      maxApplied = Math.max(maxApplied, index);
      checkSame(states, index, hash, 'two states at index');
    },
    recordValue: (index: number, value: number) => {
      if (refused.has(value)) addViolation(`value ${value} was applied after 'not_run'`);
      checkSame(appliedValues, value, index, 'applied twice, value');
    },
    recordAccepted: (value: number) => {
      counts.accepted += 1;
      if (!appliedValues.has(value)) addViolation(`value ${value} was accepted but not applied`);
    },
    recordRefused: (value: number) => {
      if (appliedValues.has(value)) addViolation(`value ${value} was applied before 'not_run'`);
      counts.refused += 1;
      refused.add(value);
    },
    recordRead: (floor: number, point: number, applied: number) => {
      counts.reads += 1;
      if (point < floor)
        addViolation(`a read returned index ${point} after index ${floor} was applied`);
      if (applied < point)
        addViolation(`a read at index ${point} used the state at index ${applied}`);
    },
  };
};

export type Oracle = ReturnType<typeof createOracle>;
