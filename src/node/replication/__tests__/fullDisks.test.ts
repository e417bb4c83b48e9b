import { readdirSync, rmSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import { createControlHosts, waitFor } from './controlHosts';

const NODES = ['control-1', 'control-2', 'control-3'] as const;
const PROGRAM = [
  '--import=tsx',
  '--import=./src/node/replication/__tests__/fullDisk.ts',
  'src/node/main.ts',
];
const RESTART_MS = 100;
/** Long enough for a host to end and start again while its disk is full. */
const FULL_MS = 4_000;
/** Changes sent to each host after all disks have room again. */
const LATE_CHANGES = 3;
/** Longest time until a late change is accepted. */
const LATE_LIMIT_MS = 4_000;

type Hosts = Awaited<ReturnType<typeof createControlHosts>>;

/** Starts a host again as often as it ends, until it is stopped. */
const startSupervised = (hosts: Hosts, node: string) => {
  let isStopped = false;
  let exits = 0;
  const startOnce = (): void => {
    if (isStopped) return;
    hosts.start(node).once('exit', () => {
      exits += 1;
      setTimeout(startOnce, RESTART_MS);
    });
  };
  startOnce();
  return {
    countExits: () => exits,
    stop: () => {
      isStopped = true;
    },
  };
};

const cases = [
  { name: 'the leader first, with a pause between them', isLeaderFirst: true, pauseMs: 2_000 },
  { name: 'the leader first, one right after the other', isLeaderFirst: true, pauseMs: 0 },
  { name: 'the leader last, one right after the other', isLeaderFirst: false, pauseMs: 0 },
] as const;

for (const { name, isLeaderFirst, pauseMs } of cases) {
  test.serial(`changes are refused long after disks were full in turn: ${name}`, async (t) => {
    const hosts = await createControlHosts(NODES, [], PROGRAM);
    const supervisors = NODES.map((node) => startSupervised(hosts, node));
    t.teardown(async () => {
      supervisors.forEach(({ stop }) => stop());
      await hosts.stop();
    });
    const leader = await hosts.waitForLeader();
    const accepted: unknown[] = [];
    const commitChange = async (limitMs: number, among: readonly string[]): Promise<void> => {
      let turn = 0;
      const answer = await waitFor(
        `change ${accepted.length}`,
        () => {
          turn += 1;
          return hosts.requestChange(among[turn % among.length]!, accepted.length);
        },
        limitMs,
      );
      accepted.push(answer);
    };
    t.teardown(async () => {
      if (t.passed) return;
      const exits = supervisors.map(({ countExits }) => countExits());
      const inventories = await Promise.all(NODES.map(hosts.readInventory));
      const states = await Promise.all(NODES.map(hosts.readStatus));
      const facts = { accepted: accepted.length, exits, inventories, states };
      t.log(JSON.stringify(facts));
    });
    await commitChange(30_000, NODES);
    const others = NODES.filter((node) => node !== leader);
    const order = isLeaderFirst ? [leader, ...others] : [...others, leader];
    for (const node of order) {
      const marker = join(hosts.root, `${node}.jsonc.full`);
      writeFileSync(marker, '');
      const end = Date.now() + FULL_MS;
      while (Date.now() < end) await commitChange(30_000, NODES);
      rmSync(marker);
      await sleep(pauseMs);
    }
    await sleep(3_000);
    supervisors.forEach(({ countExits }) => t.true(countExits() > 0));
    for (let count = 0; count < LATE_CHANGES; count += 1) {
      for (const node of NODES) await commitChange(LATE_LIMIT_MS, [node]);
    }
    for (const node of NODES) {
      const stored = await waitFor(`the last revision at ${node}`, async () => {
        const found = await hosts.readInventory(node);
        return found?.revision === accepted.length ? found : undefined;
      });
      t.is(stored.inventory?.zones[0]?.name, `zone-${accepted.length}`);
      const status = await waitFor(`a vote for ${node}`, async () => {
        const found = await hosts.readStatus(node);
        return found && found.config.role !== 'learner' ? found : undefined;
      });
      t.deepEqual([...status.config.voters].sort(), [...NODES]);
      const names = readdirSync(join(hosts.root, node, 'config'));
      t.deepEqual(
        names.filter((file) => file.startsWith('lock.')),
        [],
      );
    }
  });
}
