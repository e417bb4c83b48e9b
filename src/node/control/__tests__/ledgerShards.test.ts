import { mkdirSync, mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import { Left, Right } from 'purify-ts';
import { createError } from '../../errors';
import { createLedgerState, type LedgerCommand, type LedgerResult } from '../../ledger';
import type { Replica } from '../../replication';
import {
  checkShardCount,
  createShardedLedger,
  createShardedReads,
  type LedgerShard,
} from '../ledgerShards';

const OWNER = { node: 'entry-1', incarnation: 1 } as const;
const ORGANISATIONS = ['o1', 'o2', 'o3', 'o4', 'o5', 'o6'] as const;

const createShard = (hasNoQuorum = false): LedgerShard => {
  const state = createLedgerState();
  let index = 0;
  const error = createError({ type: 'unavailable', message: 'no quorum', step: 'propose' });
  const replica = {
    propose: async (command: LedgerCommand) => {
      if (hasNoQuorum) return Left(error);
      index += 1;
      return Right({ index, term: 1, result: state.apply(index, command) });
    },
    confirmRead: async () => (hasNoQuorum ? Left(error) : Right({ term: 1, index })),
  } as unknown as Replica<LedgerCommand, LedgerResult>;
  return { replica, state };
};

const createDefer = (organisation: string): LedgerCommand => ({
  type: 'defer',
  organisation,
  requestId: `request-${organisation}`,
  session: 's',
  idempotent: true,
  request: { path: '/', headers: {}, body: '' },
  at: 1,
});

const TAKE: LedgerCommand = { type: 'take', owner: OWNER, holds: [], limit: 100, at: 2 };

const listTaken = (result: LedgerResult): readonly string[] =>
  result.type === 'taken' ? result.records.map((item) => item.organisation) : [];

test('records of an organisation are found again across several groups', async (t) => {
  const shards = [createShard(), createShard(), createShard()];
  const ledger = createShardedLedger(shards);
  const reads = createShardedReads(shards);
  for (const organisation of ORGANISATIONS) await ledger.propose(createDefer(organisation));
  for (const organisation of ORGANISATIONS) {
    t.is(reads.findRequest(organisation, `request-${organisation}`)?.organisation, organisation);
  }
  t.is(reads.countQueues(), ORGANISATIONS.length);
  const used = shards.filter(({ state }) => state.countQueues() > 0);
  t.true(used.length > 1);
});

test('deferred requests of all groups are handed out once and within the limit', async (t) => {
  const ledger = createShardedLedger([createShard(), createShard(), createShard()]);
  for (const organisation of ORGANISATIONS) await ledger.propose(createDefer(organisation));
  const first = (await ledger.propose({ ...TAKE, limit: 2 })).unsafeCoerce().result;
  const holds = listTaken(first).map((organisation) => `request-${organisation}`);
  const second = (await ledger.propose({ ...TAKE, holds })).unsafeCoerce().result;
  t.is(listTaken(first).length, 2);
  t.deepEqual([...listTaken(first), ...listTaken(second)].sort(), [...ORGANISATIONS]);
});

test('a group without a quorum does not hide the requests taken from another group', async (t) => {
  const whole = createShard();
  const ledger = createShardedLedger([whole, createShard(true)]);
  for (const organisation of ORGANISATIONS) await ledger.propose(createDefer(organisation));
  const queued = whole.state.countQueues();
  const taken = (await ledger.propose(TAKE)).unsafeCoerce().result;
  t.true(queued > 0);
  t.is(listTaken(taken).length, queued);
  t.true((await ledger.confirmRead()).isLeft());
});

const COUNT_CASES = [
  { title: 'a new data directory', found: 0, shards: 4, isRefused: false },
  { title: 'the same number', found: 2, shards: 2, isRefused: false },
  { title: 'a different number', found: 2, shards: 4, isRefused: true },
] as const;

for (const { title, found, shards, isRefused } of COUNT_CASES) {
  test(`the number of ledger groups: ${title} is ${isRefused ? 'refused' : 'accepted'}`, (t) => {
    const data = mkdtempSync(join(tmpdir(), 'shards-'));
    for (let shard = 0; shard < found; shard += 1) mkdirSync(join(data, `ledger-${shard}`));
    const check = () => checkShardCount(data, shards);
    if (isRefused) t.throws(check, { message: /holds 2 ledger groups/ });
    else t.notThrows(check);
  });
}
