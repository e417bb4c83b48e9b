import { setImmediate as waitForTurn } from 'node:timers/promises';

/** Runs turns one at a time as long as there is work. */
export interface TurnLoop {
  /** Makes sure that a turn begins after this call. */
  readonly schedule: () => void;
  /** Resolves at the end of the next turn that begins after this call. */
  readonly waitForTurn: () => Promise<void>;
  /** Ends the loop after the turn under way. */
  readonly stop: () => Promise<void>;
}

/** What a turn loop runs. */
export interface TurnLoopOptions {
  /** Runs one turn and tells whether there was anything to do. */
  readonly runTurn: () => Promise<boolean>;
  /** Called when the loop goes idle. */
  readonly handleIdle: () => Promise<void>;
  readonly handleFailure: (cause: unknown) => void;
}

/** Creates an idle loop. */
export const createTurnLoop = (options: TurnLoopOptions): TurnLoop => {
  let waiting: (() => void)[] = [];
  let isScheduled = false;
  let isRunning = false;
  let isStopped = false;
  let running: Promise<void> = Promise.resolve();

  const runTurns = async (): Promise<void> => {
    for (;;) {
      // One turn of the event loop gathers what has arrived, so that it shares a sync.
      await waitForTurn();
      if (isStopped) return;
      isScheduled = false;
      const finished = waiting;
      waiting = [];
      const wasBusy = await options.runTurn();
      finished.forEach((resolve) => resolve());
      if (!wasBusy && !isScheduled) break;
    }
    await options.handleIdle();
  };

  const schedule = (): void => {
    isScheduled = true;
    if (isRunning || isStopped) return;
    isRunning = true;
    running = runTurns()
      .catch((cause) => {
        if (!isStopped) options.handleFailure(cause);
        isStopped = true;
      })
      .finally(() => {
        isRunning = false;
        if (isScheduled) schedule();
      });
  };

  return {
    schedule,
    waitForTurn: () =>
      new Promise((resolve) => {
        waiting.push(resolve);
        schedule();
      }),
    stop: async () => {
      isStopped = true;
      await running;
    },
  };
};
