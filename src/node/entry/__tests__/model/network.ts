import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand';

/** Rules that a model run applies. A test of each check disables the rule behind it. */
export interface Rules {
  readonly claims: boolean;
  readonly tombstones: boolean;
  readonly agentReports: boolean;
  readonly firstReportWins: boolean;
  readonly frameNumbering: boolean;
  readonly bindings: boolean;
  readonly endedIncarnations: boolean;
  readonly sessionOrder: boolean;
}

/** All rules enabled. */
export const ALL_RULES: Rules = {
  claims: true,
  tombstones: true,
  agentReports: true,
  firstReportWins: true,
  frameNumbering: true,
  bindings: true,
  endedIncarnations: true,
  sessionOrder: true,
};

/** A seeded network. A message takes several turns and may be lost in either direction. */
export interface Network {
  readonly sampleBelow: (below: number) => number;
  readonly hasChance: (percent: number) => boolean;
  /** Waits for a number of event loop turns. */
  readonly wait: (turns?: number) => Promise<void>;
  /** Delivers a message and returns its answer, or throws like a broken connection. */
  readonly call: <T>(deliver: () => T | Promise<T>) => Promise<T>;
  /** Stops the loss of messages. */
  readonly stopFaults: () => void;
}

const LOSS_PERCENT = 6;
const MAX_TURNS = 5;
const LATE_TURNS = 60;

const waitTurn = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

/** Creates a network from a seed. */
export const createNetwork = (seed: number): Network => {
  const generator = xoroshiro128plus(seed);
  let isFaultFree = false;
  const sampleBelow = (below: number): number =>
    unsafeUniformIntDistribution(0, below - 1, generator);
  const hasChance = (percent: number): boolean => !isFaultFree && sampleBelow(100) < percent;

  const wait = async (turns = sampleBelow(MAX_TURNS)): Promise<void> => {
    for (let turn = 0; turn < turns; turn += 1) await waitTurn();
  };

  // A message whose sender has given up may still arrive much later.
  const sendLate = async (deliver: () => unknown): Promise<void> => {
    await wait(sampleBelow(LATE_TURNS));
    await deliver();
  };

  const call = async <T>(deliver: () => T | Promise<T>): Promise<T> => {
    await wait();
    if (hasChance(LOSS_PERCENT)) {
      if (hasChance(50)) sendLate(deliver).catch(() => {});
      throw new Error('the connection broke');
    }
    const answer = await deliver();
    await wait();
    if (hasChance(LOSS_PERCENT)) throw new Error('the answer was lost');
    return answer;
  };

  return {
    sampleBelow,
    hasChance,
    wait,
    call,
    stopFaults: () => {
      isFaultFree = true;
    },
  };
};
