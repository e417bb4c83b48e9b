import type { Logger } from '../log';
import type { Replica } from '../replication';
import type { ConfigCommand, ConfigResult, ConfigState } from './configState';
import type { createShardedLedger, LedgerReads, LedgerShard } from './ledgerShards';

/** The groups and states that the control services work on. */
export interface ControlContext {
  readonly config: Replica<ConfigCommand, ConfigResult>;
  readonly configState: ConfigState;
  readonly ledgerShards: readonly LedgerShard[];
  /** All ledger groups as one. */
  readonly ledger: ReturnType<typeof createShardedLedger>;
  readonly ledgerState: LedgerReads;
  readonly leaseMs: number;
  readonly log: Logger;
}

/** Commits a command of the `config` group and gives its answer; throws when it is not known to be committed. */
export const commit = async (
  parts: ControlContext,
  command: ConfigCommand,
): Promise<ConfigResult> => {
  const applied = await parts.config.propose(command);
  return applied.unsafeCoerce().result;
};
