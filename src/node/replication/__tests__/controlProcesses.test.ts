import test from 'ava';
import type { ReplicaStatus } from '../types';
import { createControlHosts, waitFor } from './controlHosts';

const NODES = ['control-1', 'control-2', 'control-3'] as const;

type Hosts = Awaited<ReturnType<typeof createControlHosts>>;

const startAll = async (): Promise<Hosts> => {
  const hosts = await createControlHosts(NODES);
  NODES.forEach((node) => hosts.start(node));
  return hosts;
};

const commitChange = (
  hosts: Hosts,
  base: number,
  among: readonly string[] = NODES,
  furtherZones?: number,
) => {
  let turn = 0;
  return waitFor(`change ${base}`, async () => {
    turn += 1;
    return hosts.requestChange(among[turn % among.length]!, base, furtherZones);
  });
};

const waitForRevision = (hosts: Hosts, node: string, revision: number) =>
  waitFor(`revision ${revision} at ${node}`, async () => {
    const stored = await hosts.readInventory(node);
    return stored?.revision === revision ? stored : undefined;
  });

// The member list contains the node before its store has a vote, so this asks the node itself.
const waitForVote = (hosts: Hosts, node: string) =>
  waitFor(`a vote for ${node}`, async () => {
    const status = await hosts.readStatus(node);
    const canVote = (group: ReplicaStatus): boolean =>
      group.role !== 'learner' && group.members.length === NODES.length;
    return status && canVote(status.config) && canVote(status.ledger) ? status : undefined;
  });

const LEADER_STOPS = [
  { title: 'a killed leader', signal: 'SIGKILL' },
  { title: 'a gracefully stopped leader', signal: 'SIGTERM' },
] as const;

for (const { title, signal } of LEADER_STOPS) {
  test(`${title} is replaced by another leader without losing accepted changes`, async (t) => {
    const hosts = await startAll();
    t.teardown(hosts.stop);
    const leader = await hosts.waitForLeader();
    await commitChange(hosts, 0);
    await hosts.kill(leader, signal);
    const others = NODES.filter((node) => node !== leader);
    await commitChange(hosts, 1, others);
    for (const node of others) {
      const { inventory } = await waitForRevision(hosts, node, 2);
      t.is(inventory?.zones[0]?.name, 'zone-2');
    }
    hosts.start(leader);
    t.is((await waitForRevision(hosts, leader, 2)).revision, 2);
  });
}

test('a leader that was frozen does not answer reads with stale data', async (t) => {
  const hosts = await startAll();
  t.teardown(hosts.stop);
  const leader = await hosts.waitForLeader();
  await commitChange(hosts, 0);
  hosts.signal(leader, 'SIGSTOP');
  const others = NODES.filter((node) => node !== leader);
  await commitChange(hosts, 1, others);
  hosts.signal(leader, 'SIGCONT');
  const first = await waitFor('an answer', () => hosts.readInventory(leader));
  t.is(first.revision, 2);
});

test('a host with a deleted data folder becomes a voter again, and another host may be lost then', async (t) => {
  const hosts = await startAll();
  t.teardown(hosts.stop);
  const leader = await hosts.waitForLeader();
  await commitChange(hosts, 0);
  const [lost, second] = NODES.filter((node) => node !== leader);
  await hosts.kill(lost!);
  hosts.removeData(lost!);
  hosts.start(lost!);
  const repaired = await waitForVote(hosts, lost!);
  t.deepEqual([...repaired.config.voters].sort(), [...NODES]);
  await hosts.kill(second!);
  await commitChange(hosts, 1, [leader, lost!]);
  t.is((await waitForRevision(hosts, lost!, 2)).inventory?.zones[0]?.name, 'zone-2');
});

/** Enlarges an inventory to about 140 KB. */
const FURTHER_ZONES = 1_000;
const LARGE_CHANGES = 300;
/** What a blank host can be sent within the catch-up time of a deployment, in bytes. */
const MAX_CATCH_UP_BYTES = 12_000_000;

// Blank hosts were sent the whole log, 140 KB for each change. The next host was lost before they had
// a vote, and no quorum was left.
test('a blank host is sent the current state and not hundreds of changes, and then another host may be lost', async (t) => {
  const hosts = await startAll();
  t.teardown(hosts.stop);
  const leader = await hosts.waitForLeader();
  for (let base = 0; base < LARGE_CHANGES; base += 1) {
    await commitChange(hosts, base, [leader], FURTHER_ZONES);
  }
  const [lost, second] = NODES.filter((node) => node !== leader);
  await hosts.kill(lost!);
  hosts.removeData(lost!);
  hosts.start(lost!);
  await waitForVote(hosts, lost!);
  const bytes = hosts.computeGroupBytes(lost!, 'config');
  t.true(bytes < MAX_CATCH_UP_BYTES, `${bytes} bytes on the disk of the host that was blank`);
  await hosts.kill(second!);
  await commitChange(hosts, LARGE_CHANGES, [leader, lost!]);
  const { inventory } = await waitForRevision(hosts, lost!, LARGE_CHANGES + 1);
  t.is(inventory?.zones[0]?.name, `zone-${LARGE_CHANGES + 1}`);
});

test('a permanently lost host is replaced by another node', async (t) => {
  const hosts = await createControlHosts(NODES, ['control-4']);
  NODES.forEach((node) => hosts.start(node));
  t.teardown(hosts.stop);
  const leader = await hosts.waitForLeader();
  await commitChange(hosts, 0);
  const [lost, second] = NODES.filter((node) => node !== leader);
  const early = await hosts.replaceHost(leader, lost!, 'control-4');
  t.deepEqual(
    early?.groups.map((group) => group.refusal),
    ['still_answering', 'still_answering'],
  );
  await hosts.kill(lost!);
  hosts.start('control-4', [leader, second!, 'control-4']);
  await waitFor('the replacement', async () => {
    const answer = await hosts.replaceHost(leader, lost!, 'control-4');
    const isTaken = (refusal: string | undefined): boolean =>
      refusal === undefined || refusal === 'unknown_node';
    return answer?.groups.every((group) => isTaken(group.refusal)) ? answer : undefined;
  });
  const replaced = await waitForVote(hosts, 'control-4');
  t.deepEqual([...replaced.config.voters].sort(), [leader, second!, 'control-4'].sort());
  await hosts.kill(second!);
  await commitChange(hosts, 1, [leader, 'control-4']);
  t.is((await waitForRevision(hosts, 'control-4', 2)).revision, 2);
});

test('a host with a new address rejoins the group and votes', async (t) => {
  const hosts = await createControlHosts(NODES, ['spare']);
  NODES.forEach((node) => hosts.start(node));
  t.teardown(hosts.stop);
  const leader = await hosts.waitForLeader();
  await commitChange(hosts, 0);
  const [moved, second] = NODES.filter((node) => node !== leader);
  await hosts.kill(moved!);
  hosts.addresses.set(moved!, hosts.addresses.get('spare')!);
  hosts.start(moved!);
  await waitForRevision(hosts, moved!, 1);
  await hosts.kill(second!);
  await commitChange(hosts, 1, [leader, moved!]);
  t.is((await waitForRevision(hosts, moved!, 2)).revision, 2);
});

test('a host that missed 500 changes catches up, and all hosts keep them after a restart', async (t) => {
  const hosts = await startAll();
  t.teardown(hosts.stop);
  const leader = await hosts.waitForLeader();
  const late = NODES.find((node) => node !== leader)!;
  await hosts.kill(late);
  for (let base = 0; base < 500; base += 1) await commitChange(hosts, base, [leader]);
  hosts.start(late);
  t.is((await waitForRevision(hosts, late, 500)).inventory?.zones[0]?.name, 'zone-500');
  await Promise.all(NODES.map((node) => hosts.kill(node)));
  NODES.forEach((node) => hosts.start(node));
  for (const node of NODES) t.is((await waitForRevision(hosts, node, 500)).revision, 500);
});
