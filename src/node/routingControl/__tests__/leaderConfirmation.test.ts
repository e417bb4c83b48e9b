import test from 'ava';
import { Left, Right } from 'purify-ts';
import { pino } from 'pino';
import { setImmediate as waitForEventLoop } from 'node:timers/promises';
import { LEADER_CONFIRMED_MS } from '../../decisions';
import { createError } from '../../errors';
import type { ReplicaStatus } from '../../replication';
import { createLeaderConfirmation } from '..';

interface Case {
  readonly name: string;
  readonly roles: readonly [ReplicaStatus['role'], ReplicaStatus['role']];
  /** Terms before and after the quorum was asked, and of its answer. */
  readonly terms?: readonly [number, number, number];
  readonly hasQuorum?: boolean;
  /** Time between the question and the second reading, in milliseconds. */
  readonly elapsedMs?: number;
  readonly term: number | undefined;
}

const cases: readonly Case[] = [
  { name: 'a confirmed leader', roles: ['leader', 'leader'], term: 3 },
  { name: 'a follower', roles: ['follower', 'follower'], term: undefined },
  { name: 'no quorum', roles: ['leader', 'leader'], hasQuorum: false, term: undefined },
  { name: 'a leader that lost the lead', roles: ['leader', 'follower'], term: undefined },
  {
    name: 'a leader whose read the next leader confirmed',
    roles: ['leader', 'leader'],
    terms: [3, 5, 4],
    term: undefined,
  },
  {
    name: 'an old confirmation, after a pause',
    roles: ['leader', 'leader'],
    elapsedMs: LEADER_CONFIRMED_MS,
    term: undefined,
  },
];

// Guards against a host that grants permits while another one does so as the leader.
for (const { name, roles, terms = [3, 3, 3], hasQuorum = true, elapsedMs = 10, term } of cases) {
  test(`confirmation of the leader: ${name}`, async (t) => {
    let stage = 0;
    let now = 0;
    const error = createError({ type: 'unavailable', message: 'no quorum', step: 'test' });
    const confirmation = createLeaderConfirmation({
      replica: {
        status: () => ({ role: roles[stage], term: terms[stage] }) as ReplicaStatus,
        confirmRead: async () => {
          stage = 1;
          return hasQuorum ? Right({ term: terms[2], index: 1 }) : Left(error);
        },
      },
      log: pino({ level: 'silent' }),
      readClocks: () => now,
      computeElapsedMs: (reading) => now - reading,
    });
    t.is(confirmation.read(), undefined, 'nothing is confirmed before the quorum was asked');
    await waitForEventLoop();
    now += elapsedMs;
    t.is(confirmation.read()?.term, term);
  });
}
