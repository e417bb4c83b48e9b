import type { OrphanAttempt, Owner } from '../ledger';
import type { RpcClient } from '../rpc';
import type { AttemptEnd } from '../shared';
import type { ControlContext } from './controlContext';
import type { LedgerShard } from './ledgerShards';

/**
 * Maintains a ledger group on its leader: settles requests of ended processes, resolves orphans,
 * expires records.
 */
export interface LedgerMaintenance {
  readonly start: () => void;
  readonly stop: () => void;
  /** Ends incarnations that own open requests but are no longer registered. */
  readonly settleUnregistered: () => Promise<void>;
  /** Asks agents to refuse announced attempts that no entry waits for any more. */
  readonly refuseOrphans: () => Promise<void>;
}

const CHECK_INTERVAL_MS = 1_000;
const EXPIRE_INTERVAL_MS = 30_000;

/** Creates the maintenance task of one ledger group on one control host. */
export const createLedgerMaintenance = (
  context: ControlContext,
  shard: LedgerShard,
  rpc: Pick<RpcClient, 'call'>,
): LedgerMaintenance => {
  const { config, configState, log } = context;
  const { replica: ledger, state: ledgerState } = shard;
  let timer: NodeJS.Timeout | undefined;
  let lastExpiry = 0;
  let isStopped = false;

  const isUnregistered = ({ node, incarnation }: Owner): boolean =>
    configState.findNode(node)?.incarnation !== incarnation;

  const settleIncarnation = async ({ node, incarnation }: Owner): Promise<void> => {
    log.info(
      { peer: node, incarnation },
      'incarnation is no longer registered; settling its requests',
    );
    const below = incarnation + 1;
    await ledger.propose({ type: 'endIncarnation', node, below, at: Date.now() });
  };

  // Lists the owners before the read, so that the read covers the registration of each of them.
  const settleGone = async (): Promise<void> => {
    const owners = ledgerState.listOpenOwners();
    if (owners.length === 0) return;
    const read = await config.confirmRead();
    if (read.isLeft()) return;
    for (const owner of owners.filter(isUnregistered)) await settleIncarnation(owner);
  };

  // An agent that has received the attempt reports its end itself. Otherwise the agent refuses it
  // from now on.
  const refuseOrphan = async (orphan: OrphanAttempt): Promise<void> => {
    const { requestId, organisation, attempt: known } = orphan;
    const { attempt, agent, incarnation, model, version } = known;
    const record = configState.findNode(agent);
    if (record?.incarnation !== incarnation) return;
    const name = { requestId, attempt, incarnation };
    const answer = await rpc.call<AttemptEnd>(record.address, 'attempt.refuse', name);
    const end = answer.map(({ state }) => state).orDefault('unknown');
    log.info({ requestId, attempt, peer: agent, end }, 'asked agent to refuse orphaned attempt');
    if (end !== 'never') return;
    const report = { attempt, agent, incarnation, model, version, outcome: 'never' } as const;
    // The ledger already knows the request, so the owner of the report does not matter.
    const owner = { node: agent, incarnation };
    const at = Date.now();
    await ledger.propose({ type: 'report', organisation, requestId, report, owner, at });
  };

  const refuseOrphans = async (): Promise<void> => {
    for (const orphan of ledgerState.listOrphanAttempts()) await refuseOrphan(orphan);
  };

  const run = async (): Promise<void> => {
    if (ledger.status().role !== 'leader') return;
    await settleGone();
    await refuseOrphans();
    const now = Date.now();
    if (now - lastExpiry < EXPIRE_INTERVAL_MS) return;
    lastExpiry = now;
    await ledger.propose({ type: 'expire', at: now });
  };

  const schedule = (): void => {
    if (isStopped) return;
    timer = setTimeout(() => {
      run()
        .catch(() => {})
        .finally(schedule);
    }, CHECK_INTERVAL_MS);
  };

  return {
    start: schedule,
    stop: () => {
      isStopped = true;
      clearTimeout(timer);
    },
    settleUnregistered: settleGone,
    refuseOrphans,
  };
};
