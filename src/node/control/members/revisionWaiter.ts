import type { ConfigState } from '../configState';

/** Lets callers wait until the view changes. */
export interface RevisionWaiter {
  /** Resolves at the next change of the view, or after `limitMs` at the latest. */
  readonly wait: (limitMs: number) => Promise<void>;
  /** Wakes all waiting callers. */
  readonly release: () => void;
}

/** Creates a waiter for changes of a `config` state. */
export const createRevisionWaiter = (state: Pick<ConfigState, 'watch'>): RevisionWaiter => {
  let waiting = new Set<() => void>();

  const release = (): void => {
    const released = waiting;
    waiting = new Set();
    released.forEach((resolve) => resolve());
  };

  state.watch(release);

  const wait = (limitMs: number): Promise<void> =>
    new Promise((resolve) => {
      let timer: NodeJS.Timeout | undefined;
      const handleChange = (): void => {
        clearTimeout(timer);
        waiting.delete(handleChange);
        resolve();
      };
      timer = setTimeout(handleChange, limitMs);
      waiting.add(handleChange);
    });

  return { wait, release };
};
