import { addObservation, EMPTY_TALLY, type Observation, type Tally } from '../decisions';
import type { VersionTally } from '../routingControl';

/**
 * Counts responses by service, version and task. The control host compares the counts during a
 * roll-out.
 */
export interface VersionTallies {
  readonly record: (
    key: Pick<VersionTally, 'service' | 'version' | 'task'>,
    observation: Observation,
  ) => void;
  readonly list: () => readonly VersionTally[];
}

interface Row {
  readonly key: Pick<VersionTally, 'service' | 'version' | 'task'>;
  readonly tally: Tally;
}

/** Further rows are counted under the task `other`, so that the reported list stays small. */
const MAX_ROWS = 500;

/** Creates tallies without any counts. */
export const createVersionTallies = (): VersionTallies => {
  const rows = new Map<string, Row>();
  return {
    record: (key, observation) => {
      const isFull = rows.size >= MAX_ROWS;
      const task = isFull ? 'other' : key.task;
      const name = `${key.service}|${key.version}|${task}`;
      const known = rows.get(name);
      const tally = addObservation(known?.tally ?? EMPTY_TALLY, observation);
      rows.set(name, { key: { ...key, task }, tally });
    },
    list: () =>
      [...rows.values()].map(({ key, tally }) => ({
        ...key,
        requests: tally.requests,
        errors: tally.errors,
        times: tally.times,
        logTimeSum: tally.logTimeSum,
        logTimeSquares: tally.logTimeSquares,
      })),
  };
};
