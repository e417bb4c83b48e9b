import type { Logger } from '../log';
import type { Replica } from '../replication';
import type { ConfigCommand, ConfigResult, ConfigState } from './configState';
import type { createShardedLedger, LedgerReads, LedgerShard } from './ledgerShards';

/** Replication groups and states shared by the services of a control host. */
export interface ControlContext {
  readonly config: Replica<ConfigCommand, ConfigResult>;
  readonly configState: ConfigState;
  readonly ledgerShards: readonly LedgerShard[];
  /** All ledger groups, addressed as one. */
  readonly ledger: ReturnType<typeof createShardedLedger>;
  readonly ledgerState: LedgerReads;
  readonly leaseMs: number;
  readonly log: Logger;
}

/**
 * Commits a command of the `config` group and returns its result. Throws if the commit is not
 * confirmed.
 */
export const commit = async (
  context: ControlContext,
  command: ConfigCommand,
): Promise<ConfigResult> => {
  const applied = await context.config.propose(command);
  return applied.unsafeCoerce().result;
};
