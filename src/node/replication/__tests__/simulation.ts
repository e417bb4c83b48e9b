import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand';
import type { InjectedFaults, Message } from '../core';
import { createOracle } from './oracle';
import { createDisk, WRITTEN_PARTS, type SimulatedDisk } from './simulatedDisk';
import { createSimulatedNode, type SimulatedNode } from './simulatedNode';

const STEPS_PER_TICK = 4;
const RANDOM_RANGE = 1_000_000;
const INBOX_LIMIT = 500;
const INBOX_BATCH = 2;
const LOAD_INTERVAL_STEPS = 8;
const MAX_FAULT_DELAY_STEPS = 20;
const SETTLE_STEPS = 6_000;

/** Faults that a simulation can inject to show that its checks detect them. */
export interface SimulationFaults extends InjectedFaults {
  /** Uses the host name as the id of a blank store, so a new store votes as the lost one. */
  readonly ignoresStoreIds?: boolean;
  /** Loses the vote at a crash. */
  readonly forgetsVote?: boolean;
}

export interface SimulationOptions {
  readonly seed: number;
  readonly size: number;
  readonly injectedFaults?: SimulationFaults;
}

interface Host {
  readonly name: string;
  disk: SimulatedDisk;
  earlierDisks: readonly SimulatedDisk[];
  node: SimulatedNode | undefined;
  isFrozen: boolean;
  inbox: Message[];
}

interface MessageInTransit {
  readonly message: Message;
  readonly at: number;
}

/** Probabilities of message loss and duplication, and the maximum delay in steps. */
export interface NetworkConditions {
  readonly loss: number;
  readonly duplication: number;
  readonly delay: number;
}

/** The fault that occurs shortly after the next election. */
export type ElectionFault = 'none' | 'killLeader' | 'isolateLeader' | 'restartOthers';

interface ScheduledFault {
  readonly fault: ElectionFault;
  readonly leader: Host;
  readonly at: number;
}

const RELIABLE_NETWORK: NetworkConditions = { loss: 0, duplication: 0, delay: 2 };

/** Creates hosts with disks and a network between them. One seed determines the whole run. */
export const createSimulation = ({ seed, size, injectedFaults }: SimulationOptions) => {
  const generator = xoroshiro128plus(seed);
  const sampleUnit = (): number =>
    unsafeUniformIntDistribution(0, RANDOM_RANGE - 1, generator) / RANDOM_RANGE;
  const oracle = createOracle();
  const names = Array.from({ length: size }, (_, index) => `host-${index}`);
  const peers = names.map((name) => ({ node: name, address: name }));
  const cuts = new Set<string>();
  const lostStores = new Set<string>();
  let inTransit: MessageInTransit[] = [];
  let networkConditions = RELIABLE_NETWORK;
  let step = 0;
  let nextFault: ElectionFault = 'none';
  let scheduledFault: ScheduledFault | undefined;
  let lastTerm = 0;
  let nextStore = 0;
  let nextGroup = 0;
  let nextValue = 0;

  const createStoreDisk = (name: string): SimulatedDisk => {
    nextStore += 1;
    return createDisk(injectedFaults?.ignoresStoreIds ? name : `${name}/${nextStore}`);
  };

  const hosts: readonly Host[] = names.map((name) => ({
    name,
    disk: createStoreDisk(name),
    earlierDisks: [],
    node: undefined,
    isFrozen: false,
    inbox: [],
  }));

  const send = (message: Message): void => {
    const copies = 1 + (sampleUnit() < networkConditions.duplication ? 1 : 0);
    for (let copy = 0; copy < copies; copy += 1) {
      const at = step + 1 + Math.floor(sampleUnit() * networkConditions.delay);
      if (sampleUnit() >= networkConditions.loss) inTransit.push({ message, at });
    }
  };

  const startHost = (host: Host): void => {
    if (host.node) return;
    Object.assign(host, {
      isFrozen: false,
      inbox: [],
      node: createSimulatedNode({
        name: host.name,
        peers,
        disk: host.disk,
        oracle,
        random: sampleUnit,
        createGroupId: () => {
          nextGroup += 1;
          return `group-${nextGroup}`;
        },
        injectedFaults,
        send,
      }),
    });
  };

  const stopHost = (host: Host): void => {
    if (!host.node) return;
    oracle.counts.crashes += 1;
    const part = WRITTEN_PARTS[Math.floor(sampleUnit() * WRITTEN_PARTS.length)]!;
    const disk = host.node.crash(part);
    const hardState = injectedFaults?.forgetsVote
      ? { ...disk.hardState, vote: '' }
      : disk.hardState;
    Object.assign(host, { disk: { ...disk, hardState }, node: undefined });
  };

  const listVoterSets = (): readonly (readonly string[])[] =>
    hosts
      .filter((host) => host.node)
      .map((host) => host.node!.status().members)
      .map((members) => members.filter((m) => m.role === 'voter').map((m) => m.store));

  // Data may be lost by design if disks are lost faster than they are replaced, so runs avoid that.
  const canLose = (host: Host): boolean => {
    if (hosts.some((other) => !other.node || other.node.status().groupId === '')) return false;
    const isLost = (store: string): boolean =>
      lostStores.has(store) || store === host.disk.identity.store;
    return listVoterSets().every(
      (stores) => stores.filter(isLost).length < Math.ceil(stores.length / 2),
    );
  };

  const replaceDisk = (host: Host): void => {
    if (!canLose(host)) return;
    stopHost(host);
    oracle.counts.lostDisks += 1;
    lostStores.add(host.disk.identity.store);
    const earlierDisks = [...host.earlierDisks, host.disk];
    Object.assign(host, { disk: createStoreDisk(host.name), earlierDisks });
    startHost(host);
  };

  /** Restores the host's last lost disk. */
  const restoreDisk = (host: Host): void => {
    const earlier = host.earlierDisks.at(-1);
    if (!earlier || !canLose(host)) return;
    oracle.counts.restoredDisks += 1;
    stopHost(host);
    lostStores.add(host.disk.identity.store);
    lostStores.delete(earlier.identity.store);
    const earlierDisks = [host.disk, ...host.earlierDisks.slice(0, -1)];
    Object.assign(host, { disk: earlier, earlierDisks });
    startHost(host);
  };

  const handleDue = ({ message }: MessageInTransit): void => {
    const host = hosts.find(({ name }) => name === message.to.node);
    if (!host?.node || cuts.has(`${message.from.node} ${host.name}`)) return;
    if (host.isFrozen || host.inbox.length > 0) {
      if (host.inbox.length < INBOX_LIMIT) host.inbox.push(message);
      return;
    }
    host.node.receive(message);
  };

  // Faults shortly after an election, which random faults would rarely hit.
  const electionFaults: Readonly<Record<ElectionFault, (leader: Host) => void>> = {
    none: () => {},
    killLeader: stopHost,
    isolateLeader: ({ name }) =>
      names.forEach((other) => cuts.add(`${name} ${other}`).add(`${other} ${name}`)),
    restartOthers: (leader) =>
      hosts
        .filter((host) => host !== leader && host.node && sampleUnit() < 0.5)
        .forEach((host) => {
          stopHost(host);
          startHost(host);
        }),
  };

  const handleLeader = (host: Host, term: number): void => {
    if (term <= lastTerm) return;
    lastTerm = term;
    scheduledFault = {
      fault: nextFault,
      leader: host,
      at: step + Math.floor(sampleUnit() * MAX_FAULT_DELAY_STEPS),
    };
    nextFault = 'none';
  };

  const advanceElectionFault = (): void => {
    if (!scheduledFault || scheduledFault.at > step) return;
    const { fault: due, leader } = scheduledFault;
    scheduledFault = undefined;
    electionFaults[due](leader);
  };

  const advanceHost = (host: Host): void => {
    const { node } = host;
    if (!node || host.isFrozen) return;
    // After a freeze the process works through the messages that have queued up.
    host.inbox.splice(0, INBOX_BATCH).forEach(node.receive);
    if (step % STEPS_PER_TICK === 0) node.tick();
    node.advance();
    const { role, term } = node.status();
    if (role !== 'leader') return;
    oracle.recordLeader(term, node.store);
    handleLeader(host, term);
  };

  const advance = async (): Promise<void> => {
    step += 1;
    const due = inTransit.filter(({ at }) => at <= step);
    inTransit = inTransit.filter(({ at }) => at > step);
    due.forEach(handleDue);
    hosts.forEach(advanceHost);
    advanceElectionFault();
    await Promise.resolve();
  };

  const propose = (host: Host): number => {
    nextValue += 1;
    const value = nextValue;
    host.node?.propose(value);
    return value;
  };

  const chooseRandomHost = (): Host => hosts[Math.floor(sampleUnit() * size)]!;

  const addLoad = (): void => {
    if (step % LOAD_INTERVAL_STEPS !== 0) return;
    if (sampleUnit() < 0.5) propose(chooseRandomHost());
    chooseRandomHost().node?.read();
  };

  const run = async (steps: number): Promise<void> => {
    for (let count = 0; count < steps; count += 1) {
      addLoad();
      await advance();
      if (oracle.violations.length > 0) return;
    }
  };

  const hasSettled = (value: number): boolean =>
    oracle.hasValue(value) &&
    hosts.every((host) => host.node?.applied() === oracle.maxApplied()) &&
    listVoterSets().every((stores) => stores.length === size);

  /** Ends all faults and runs until every host is a voter and has applied every entry. */
  const settle = async (): Promise<void> => {
    cuts.clear();
    nextFault = 'none';
    scheduledFault = undefined;
    networkConditions = RELIABLE_NETWORK;
    hosts.forEach(startHost);
    hosts.forEach((host) => Object.assign(host, { isFrozen: false }));
    let value = 0;
    for (let count = 0; count < SETTLE_STEPS; count += 1) {
      if (oracle.violations.length > 0 || hasSettled(value)) return;
      if (!oracle.hasValue(value) && count % 400 === 0) value = propose(hosts[count % size]!);
      await advance();
    }
    oracle.violations.push(`the hosts did not converge within ${SETTLE_STEPS} steps`);
  };

  hosts.forEach(startHost);
  return {
    hosts,
    oracle,
    cuts,
    run,
    settle,
    propose,
    startHost,
    stopHost,
    replaceDisk,
    restoreDisk,
    updateElectionFault: (next: ElectionFault) => {
      nextFault = next;
    },
    updateNetworkConditions: (next: NetworkConditions) => {
      networkConditions = next;
    },
  };
};

export type Simulation = ReturnType<typeof createSimulation>;
