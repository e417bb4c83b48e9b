import type { OrphanAttempt, Owner } from '../ledger';
import type { RpcClient } from '../rpc';
import type { AttemptEnd } from '../shared';
import type { ControlContext } from './controlContext';
import type { LedgerShard } from './ledgerShards';

/** Tells the ledger which processes are gone and what time it is, on the ledger's leader. */
export interface LedgerMaintenance {
  readonly start: () => void;
  readonly stop: () => void;
  /** Ends the incarnations that are in the ledger but no longer registered. */
  readonly settleUnregistered: () => Promise<void>;
  /** Makes agents refuse attempts that were announced but for which no entry asks any more. */
  readonly refuseOrphans: () => Promise<void>;
}

const CHECK_INTERVAL_MS = 1_000;
const EXPIRE_INTERVAL_MS = 30_000;

/** Creates the upkeep of one ledger group on one control host. */
export const createLedgerMaintenance = (
  parts: ControlContext,
  shard: LedgerShard,
  rpc: Pick<RpcClient, 'call'>,
): LedgerMaintenance => {
  const { config, configState, log } = parts;
  const { replica: ledger, state: ledgerState } = shard;
  let timer: NodeJS.Timeout | undefined;
  let lastExpiry = 0;
  let isStopped = false;

  const isUnregistered = ({ node, incarnation }: Owner): boolean =>
    configState.findNode(node)?.incarnation !== incarnation;

  const settleIncarnation = async ({ node, incarnation }: Owner): Promise<void> => {
    log.info({ peer: node, incarnation }, 'incarnation is gone, its requests are settled');
    const below = incarnation + 1;
    await ledger.propose({ type: 'endIncarnation', node, below, at: Date.now() });
  };

  // The owners are listed first: whoever is among them had registered before the read.
  const settleGone = async (): Promise<void> => {
    const owners = ledgerState.listOpenOwners();
    if (owners.length === 0) return;
    const read = await config.confirmRead();
    if (read.isLeft()) return;
    for (const owner of owners.filter(isUnregistered)) await settleIncarnation(owner);
  };

  // An agent that has the attempt reports its end itself; one that never heard of it refuses it.
  const refuseOrphan = async (orphan: OrphanAttempt): Promise<void> => {
    const { requestId, organisation, attempt: known } = orphan;
    const { attempt, agent, incarnation, model, version } = known;
    const record = configState.findNode(agent);
    if (record?.incarnation !== incarnation) return;
    const name = { requestId, attempt, incarnation };
    const answer = await rpc.call<AttemptEnd>(record.address, 'attempt.refuse', name);
    const end = answer.map(({ state }) => state).orDefault('unknown');
    log.info(
      { requestId, attempt, peer: agent, end },
      'attempt that no entry asks for was refused',
    );
    if (end !== 'never') return;
    const report = { attempt, agent, incarnation, model, version, outcome: 'never' } as const;
    // The request is known, so that the owner of the report does not matter.
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
