import type { ConfigState } from '../configState';

/** Holds callers back until the view changes. */
export interface RevisionWaiter {
  /** Resolves at the next change of the view, or after `limitMs`. */
  readonly wait: (limitMs: number) => Promise<void>;
  /** Lets every caller go on. */
  readonly release: () => void;
}

/** Creates a waiter on a `config` state. */
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
