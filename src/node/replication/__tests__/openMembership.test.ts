import test from 'ava';
import { xoroshiro128plus, unsafeUniformIntDistribution } from 'pure-rand';
import { createCore, type Core, type Message } from '../core';

const RANGE = 1_000_000;
const LIMIT_TICKS = 400;

interface Host {
  readonly name: string;
  readonly core: Core;
  isDown: boolean;
}

// Hosts without disks, because the tests check only the member list. Messages arrive one tick
// later.
const createHosts = (founders: readonly string[], seed: number) => {
  const generator = xoroshiro128plus(seed);
  const sampleUnit = (): number => unsafeUniformIntDistribution(0, RANGE - 1, generator) / RANGE;
  const hosts = new Map<string, Host>();
  let inTransit: Message[] = [];

  const addHost = (name: string, known: readonly string[], store = name): void => {
    const canForm = founders.includes(name);
    const core = createCore({
      self: { node: name, address: name },
      peers: known.map((node) => ({ node, address: node })),
      initial: {
        identity: { store, groupId: '', members: [], canForm },
        hardState: { term: 0, vote: '' },
        snapshot: { index: 0, term: 0, members: [], size: 0 },
        entries: [],
      },
      random: sampleUnit,
      createGroupId: () => 'group',
      hasOpenMembership: true,
      campaignsEarly: true,
    });
    hosts.set(name, { name, core, isDown: false });
  };

  const runTurn = (host: Host): void => {
    for (let ready = host.core.takeReady(); ready; ready = host.core.takeReady()) {
      inTransit.push(...ready.messagesBeforeSync, ...ready.messagesAfterSync);
      host.core.handleSynced(ready.synced);
    }
  };

  const runTick = (): void => {
    const arriving = inTransit;
    inTransit = [];
    arriving.forEach((message) => {
      const host = hosts.get(message.to.address);
      const isCut = host?.isDown !== false || hosts.get(message.from.address)?.isDown !== false;
      if (host && !isCut) host.core.receive(message);
    });
    const running = [...hosts.values()].filter((host) => !host.isDown);
    running.forEach((host) => host.core.tick());
    running.forEach(runTurn);
  };

  const listVoters = (): readonly string[] => {
    const leader = [...hosts.values()].find(
      (host) => !host.isDown && host.core.status().role === 'leader',
    );
    const members = leader?.core.status().members ?? [];
    return members
      .filter((member) => member.role === 'voter')
      .map((member) => member.node)
      .sort();
  };

  const runUntil = (voters: readonly string[]): boolean => {
    for (let tick = 0; tick < LIMIT_TICKS; tick += 1) {
      runTick();
      if (listVoters().join() === [...voters].sort().join()) return true;
    }
    return false;
  };

  founders.forEach((name) => addHost(name, founders));
  return { hosts, addHost, runUntil, listVoters };
};

const FOUNDERS = ['a', 'b', 'c'];

const cases = [
  {
    name: 'two more hosts join after the group has formed',
    lost: [],
    added: ['d', 'e'],
    voters: ['a', 'b', 'c', 'd', 'e'],
  },
  {
    name: 'another host replaces a permanently lost one',
    lost: ['c'],
    added: ['d'],
    voters: ['a', 'b', 'd'],
  },
  {
    name: 'two hosts are replaced one after the other',
    lost: ['c', 'b'],
    added: ['d', 'e'],
    voters: ['a', 'd', 'e'],
  },
] as const;

for (const { name, lost, added, voters } of cases) {
  test(`open membership: ${name}`, (t) => {
    for (let seed = 1; seed <= 10; seed += 1) {
      const cluster = createHosts(FOUNDERS, seed);
      t.true(cluster.runUntil(FOUNDERS), `seed ${seed}: formed`);
      let now: readonly string[] = FOUNDERS;
      added.forEach((host, index) => {
        const lostHost = lost[index];
        if (lostHost !== undefined) cluster.hosts.get(lostHost)!.isDown = true;
        // The joining host knows only some hosts, possibly without the leader.
        cluster.addHost(host, now.filter((item) => item !== lostHost).slice(0, 2));
        now = [...now.filter((item) => item !== lostHost), host];
        t.true(cluster.runUntil(now), `seed ${seed}: ${now} but ${cluster.listVoters()}`);
      });
      t.deepEqual(cluster.listVoters(), [...voters].sort(), `seed ${seed}`);
    }
  });
}

test('a voter that was down while another joined becomes a voter again', (t) => {
  for (let seed = 1; seed <= 10; seed += 1) {
    const cluster = createHosts(FOUNDERS, seed);
    t.true(cluster.runUntil(FOUNDERS), `seed ${seed}: formed`);
    cluster.hosts.get('c')!.isDown = true;
    cluster.addHost('d', ['a', 'b']);
    t.true(cluster.runUntil(['a', 'b', 'd']), `seed ${seed}: replaced`);
    cluster.hosts.get('c')!.isDown = false;
    t.true(cluster.runUntil(['a', 'b', 'c', 'd']), `seed ${seed}: ${cluster.listVoters()}`);
  }
});
