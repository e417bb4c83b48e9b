import { setImmediate as waitForEventLoop } from 'node:timers/promises';

/** Runs turns one after another as long as there is work. */
export interface TurnLoop {
  /** Ensures that a turn starts after this call. */
  readonly schedule: () => void;
  /** Resolves at the end of the first turn that starts after this call. */
  readonly waitForTurn: () => Promise<void>;
  /** Stops the loop after the current turn. */
  readonly stop: () => Promise<void>;
}

/** The functions that a turn loop calls. */
export interface TurnLoopOptions {
  /** Runs one turn. Resolves to whether there was work to do. */
  readonly runTurn: () => Promise<boolean>;
  /** Called when the loop becomes idle. */
  readonly handleIdle: () => Promise<void>;
  readonly handleFailure: (cause: unknown) => void;
}

/** Creates an idle loop. */
export const createTurnLoop = (options: TurnLoopOptions): TurnLoop => {
  let turnWaiters: (() => void)[] = [];
  let isScheduled = false;
  let isRunning = false;
  let isStopped = false;
  let running: Promise<void> = Promise.resolve();

  const runTurns = async (): Promise<void> => {
    for (;;) {
      // Waits one iteration of the event loop, so that work that arrives together shares one sync.
      await waitForEventLoop();
      if (isStopped) return;
      isScheduled = false;
      const finished = turnWaiters;
      turnWaiters = [];
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
        turnWaiters.push(resolve);
        schedule();
      }),
    stop: async () => {
      isStopped = true;
      await running;
    },
  };
};
