import { existsSync, readdirSync } from 'node:fs';
import murmurhash from 'murmurhash';
import { Right, type Either } from 'purify-ts';
import { createError, type RouterError } from '../errors';
import type { LedgerCommand, LedgerResult, LedgerState, RequestRecord } from '../ledger';
import type { Applied, Replica, ReadPoint } from '../replication';

/** One ledger group on this host: its replica and its state. */
export interface LedgerShard {
  readonly replica: Replica<LedgerCommand, LedgerResult>;
  readonly state: LedgerState;
}

/** Read access to all ledger groups together. */
export type LedgerReads = Pick<
  LedgerState,
  'findRequest' | 'findBinding' | 'listBills' | 'listTotals' | 'countQueues' | 'countOpen'
>;

type Answer = Either<RouterError, Applied<LedgerResult>>;

const GROUP_PREFIX = 'ledger-';

/** Returns the name of a ledger group. Shards are numbered from 0. */
export const formatLedgerGroup = (shard: number): string => `${GROUP_PREFIX}${shard}`;

/** Throws if the data directory was created with a different number of ledger groups. */
export const checkShardCount = (data: string, shards: number): void => {
  if (!existsSync(data)) return;
  const found = readdirSync(data).filter((name) => /^ledger-\d+$/.test(name)).length;
  if (found === 0 || found === shards) return;
  throw createError({
    type: 'invalid_request',
    message: `data directory '${data}' holds ${found} ledger groups, but ledgerShards is ${shards}`,
    step: 'control.start',
  });
};

/** Returns the ledger group that stores all records of an organisation. */
export const findShard = (shards: readonly LedgerShard[], organisation: string): LedgerShard =>
  shards[murmurhash.v3(organisation) % shards.length]!;

// Takes deferred requests from one group after another until the limit is reached.
const takeFromAll = async (
  shards: readonly LedgerShard[],
  command: Extract<LedgerCommand, { readonly type: 'take' }>,
): Promise<Answer> => {
  const records: RequestRecord[] = [];
  let last: Applied<LedgerResult> | undefined;
  for (const { replica } of shards) {
    const limit = command.limit - records.length;
    if (limit <= 0) break;
    const answer = await replica.propose({ ...command, limit });
    // The caller already owns the records taken from earlier groups, so they must be returned.
    if (answer.isLeft())
      return last ? Right({ ...last, result: { type: 'taken', records } }) : answer;
    last = answer.extract() as Applied<LedgerResult>;
    if (last.result.type === 'taken') records.push(...last.result.records);
  }
  return Right({ ...last!, result: { type: 'taken', records } });
};

const proposeToAll = async (
  shards: readonly LedgerShard[],
  command: LedgerCommand,
): Promise<Answer> => {
  const answers = await Promise.all(shards.map(({ replica }) => replica.propose(command)));
  return answers.find((answer) => answer.isLeft()) ?? answers[0]!;
};

const confirmAll = async (
  shards: readonly LedgerShard[],
): Promise<Either<RouterError, ReadPoint>> => {
  const reads = await Promise.all(shards.map(({ replica }) => replica.confirmRead()));
  return reads.find((read) => read.isLeft()) ?? reads[0]!;
};

/** Combines the ledger groups of a host into one ledger that routes commands by organisation. */
export const createShardedLedger = (
  shards: readonly LedgerShard[],
): Pick<Replica<LedgerCommand, LedgerResult>, 'propose' | 'confirmRead' | 'status'> => ({
  propose: (command) => {
    if (command.type === 'take') return takeFromAll(shards, command);
    if (!('organisation' in command)) return proposeToAll(shards, command);
    return findShard(shards, command.organisation).replica.propose(command);
  },
  confirmRead: () => confirmAll(shards),
  status: () => shards[0]!.replica.status(),
});

const countAll = (shards: readonly LedgerShard[], count: (state: LedgerState) => number): number =>
  shards.reduce((sum, shard) => sum + count(shard.state), 0);

/** Combines the reads of all ledger groups of a host. */
export const createShardedReads = (shards: readonly LedgerShard[]): LedgerReads => ({
  findRequest: (organisation, requestId) =>
    findShard(shards, organisation).state.findRequest(organisation, requestId),
  findBinding: (organisation, session) =>
    findShard(shards, organisation).state.findBinding(organisation, session),
  listBills: () => shards.flatMap(({ state }) => state.listBills()),
  listTotals: () => shards.flatMap(({ state }) => state.listTotals()),
  countQueues: () => countAll(shards, (state) => state.countQueues()),
  countOpen: () => countAll(shards, (state) => state.countOpen()),
});
