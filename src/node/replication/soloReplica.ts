import { Right } from 'purify-ts';
import type { Replica, StateMachine } from './types';

/** Creates a replica of a group of one host without a disk; its state ends with the process. */
export const createSoloReplica = <Command, Result>(
  group: string,
  machine: StateMachine<Command, Result>,
): Replica<Command, Result> => {
  let index = 0;
  const term = 1;
  return {
    propose: async (command) => {
      index += 1;
      return Right({ index, term, result: machine.apply(index, command) });
    },
    confirmRead: async () => Right({ term, index }),
    status: () => ({
      group,
      role: 'leader',
      term,
      leader: 'self',
      committed: index,
      applied: index,
      members: ['self'],
    }),
    stop: async () => {},
  };
};
