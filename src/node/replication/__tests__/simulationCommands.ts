import fc, { type AsyncCommand } from 'fast-check';
import { createSimulation, type Simulation, type SimulationOptions } from './simulation';

interface Model {
  readonly faults: number;
}

type Host = Simulation['hosts'][number];
type Action = (simulation: Simulation, host: Host) => void;

// Targets above the host numbers select the current leader.
const LEADER_TARGET_COUNT = 4;
const MAX_HOSTS = 5;

const chooseHost = ({ hosts }: Simulation, target: number): Host => {
  const readLeaderTerm = ({ node }: Host): number =>
    node?.status().role === 'leader' ? node.status().term : 0;
  const leader = [...hosts].sort((a, b) => readLeaderTerm(b) - readLeaderTerm(a))[0]!;
  return target >= MAX_HOSTS ? leader : hosts[target % hosts.length]!;
};

const createCommand = (
  title: string,
  host: number,
  steps: number,
  action: Action,
): AsyncCommand<Model, Simulation> => ({
  check: () => true,
  run: async (_, simulation) => {
    action(simulation, chooseHost(simulation, host));
    await simulation.run(steps);
    const violation = simulation.oracle.violations[0];
    if (violation !== undefined) throw new Error(violation);
  },
  toString: () => `${title}(${host}, ${steps})`,
});

const addCutsFrom = (simulation: Simulation, name: string): void =>
  simulation.hosts.forEach((other) => simulation.cuts.add(`${name} ${other.name}`));

const addCutsTo = (simulation: Simulation, name: string): void =>
  simulation.hosts.forEach((other) => simulation.cuts.add(`${other.name} ${name}`));

const ACTIONS: Readonly<Record<string, Action>> = {
  run: () => {},
  propose: (simulation, host) => {
    for (let count = 0; count < 4; count += 1) simulation.propose(host);
  },
  proposeAtAll: (simulation) => simulation.hosts.forEach(simulation.propose),
  read: (_, host) => {
    host.node?.read();
  },
  readAtAll: (simulation) => simulation.hosts.forEach((host) => host.node?.read()),
  kill: (simulation, host) => simulation.stopHost(host),
  killLeader: (simulation) => simulation.stopHost(chooseHost(simulation, MAX_HOSTS)),
  start: (simulation, host) => simulation.startHost(host),
  startAll: (simulation) => simulation.hosts.forEach(simulation.startHost),
  restart: (simulation, host) => {
    simulation.stopHost(host);
    simulation.startHost(host);
  },
  transfer: (_, host) => {
    host.node?.sendTransfer();
  },
  loseDisk: (simulation, host) => simulation.replaceDisk(host),
  restoreDisk: (simulation, host) => simulation.restoreDisk(host),
  freeze: (_, host) => Object.assign(host, { isFrozen: true }),
  unfreeze: (_, host) => Object.assign(host, { isFrozen: false }),
  cutOutgoing: (simulation, host) => addCutsFrom(simulation, host.name),
  cutIncoming: (simulation, host) => addCutsTo(simulation, host.name),
  isolate: (simulation, host) => {
    addCutsFrom(simulation, host.name);
    addCutsTo(simulation, host.name);
  },
  healNetwork: (simulation) => simulation.cuts.clear(),
  killNextLeader: (simulation) => simulation.updateElectionFault('killLeader'),
  isolateNextLeader: (simulation) => simulation.updateElectionFault('isolateLeader'),
  restartAtElection: (simulation) => simulation.updateElectionFault('restartOthers'),
  lossyNetwork: (simulation) =>
    simulation.updateNetworkConditions({ loss: 0.2, duplication: 0.2, delay: 30 }),
  slowNetwork: (simulation) =>
    simulation.updateNetworkConditions({ loss: 0, duplication: 0, delay: 80 }),
  reliableNetwork: (simulation) =>
    simulation.updateNetworkConditions({ loss: 0, duplication: 0, delay: 2 }),
};

type Weights = Readonly<Record<string, number>>;

const MIXED_WEIGHTS: Weights = {
  ...Object.fromEntries(Object.keys(ACTIONS).map((title) => [title, 1])),
  propose: 4,
  proposeAtAll: 3,
  readAtAll: 3,
  startAll: 3,
  unfreeze: 3,
  healNetwork: 2,
  reliableNetwork: 2,
  restart: 2,
  freeze: 2,
};

const ELECTION_WEIGHTS: Weights = {
  isolateNextLeader: 4,
  killNextLeader: 4,
  restartAtElection: 4,
  kill: 3,
  startAll: 4,
  healNetwork: 3,
  slowNetwork: 2,
  reliableNetwork: 2,
  proposeAtAll: 2,
};

const RESTART_WEIGHTS: Weights = {
  restartAtElection: 5,
  killLeader: 4,
  startAll: 4,
  slowNetwork: 2,
  lossyNetwork: 1,
};

const MAX_COMMAND_STEPS = 200;

const createRunArbitrary = (weights: Weights) => {
  const titles = Object.entries(weights).map(([title, weight]) => ({
    arbitrary: fc.constant(title),
    weight,
  }));
  const command = fc
    .record({
      title: fc.oneof(...titles),
      host: fc.nat({ max: MAX_HOSTS + LEADER_TARGET_COUNT - 1 }),
      steps: fc.nat({ max: MAX_COMMAND_STEPS }),
    })
    .map(({ title, host, steps }) => createCommand(title, host, steps, ACTIONS[title]!));
  return fc.record({
    commands: fc.array(command, { minLength: 30, maxLength: 100, size: 'max' }),
    seed: fc.integer({ min: 1, max: 1_000_000 }),
    size: fc.constantFrom(3, 5),
  });
};

/** Runs with every kind of fault. Each has the seed of its network. */
export const mixedArbitrary = createRunArbitrary(MIXED_WEIGHTS);

/** Runs with restarts shortly after an election, while votes are still in transit. */
export const restartArbitrary = createRunArbitrary(RESTART_WEIGHTS);

/** Runs with many elections on slow networks and with crashes shortly after an election. */
export const electionArbitrary = createRunArbitrary(ELECTION_WEIGHTS);

/** The counts of events in a run. */
export type Totals = ReturnType<Simulation['oracle']['countAll']>;

const FORM_STEPS = 400;

/** Runs commands against hosts that have formed a group, and checks that the hosts converge. */
export const runSimulation = async (
  commands: Iterable<AsyncCommand<Model, Simulation>>,
  options: SimulationOptions,
  handleEnd: (totals: Totals) => void = () => {},
): Promise<void> => {
  const simulation = createSimulation(options);
  const createSetup = async () => {
    await simulation.run(FORM_STEPS);
    return { model: { faults: 0 }, real: simulation };
  };
  await fc.asyncModelRun(createSetup, commands);
  if (options.injectedFaults?.ignoresStoreIds) return;
  await simulation.settle();
  handleEnd(simulation.oracle.countAll());
  const violation = simulation.oracle.violations[0];
  if (violation !== undefined) throw new Error(violation);
};
