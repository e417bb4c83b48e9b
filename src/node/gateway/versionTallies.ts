import { addObservation, EMPTY_TALLY, type Observation, type Tally } from '../decisions';
import type { VersionTally } from '../routingControl';

/** Counts of answers by service, version and task, which control compares during a roll-out. */
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

/** Tasks beyond this number are not told apart, so that a list of counts stays small. */
const MAX_ROWS = 500;

/** Creates empty counts. */
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
