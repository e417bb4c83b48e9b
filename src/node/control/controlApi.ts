import { z } from 'zod';
import { createError } from '../errors';
import type { LedgerCommand, LedgerResult, LedgerState } from '../ledger';
import type { Logger } from '../log';
import type { Replica } from '../replication';
import { createMethod, type RpcMethods } from '../rpc';
import {
  announceParams,
  leaveParams,
  ledgerFindParams,
  ledgerProposeParams,
  registerParams,
  renewParams,
  type RenewAnswer,
} from '../shared';
import type { ConfigCommand, ConfigResult, ConfigState } from './configState';

/** The groups and states that the control services work on. */
export interface ControlParts {
  readonly config: Replica<ConfigCommand, ConfigResult>;
  readonly configState: ConfigState;
  readonly ledger: Replica<LedgerCommand, LedgerResult>;
  readonly ledgerState: LedgerState;
  readonly leaseMs: number;
  readonly log: Logger;
}

/** Commits a command of the `config` group and gives its answer; throws when it is not known to be committed. */
export const commit = async (
  parts: ControlParts,
  command: ConfigCommand,
): Promise<ConfigResult> => {
  const applied = await parts.config.propose(command);
  return applied.unsafeCoerce().result;
};

const checkStale = (result: ConfigResult, step: string): ConfigResult => {
  if (result.type !== 'stale') return result;
  throw createError({
    type: 'stale_revision',
    message: `incarnation ${result.incarnation} replaced this one`,
    step,
  });
};

const handleRenew = async (
  parts: ControlParts,
  params: z.infer<typeof renewParams>,
): Promise<RenewAnswer> => {
  const point = (await parts.config.confirmRead()).unsafeCoerce();
  const record = parts.configState.findNode(params.node);
  if (record?.incarnation !== params.incarnation) {
    throw createError({
      type: 'stale_revision',
      message: `incarnation ${params.incarnation} of '${params.node}' is not registered`,
      step: 'control.renew',
    });
  }
  const update = parts.configState.readUpdate(params.revision);
  return { term: point.term, leaseMs: parts.leaseMs, update };
};

/** Creates the methods that control answers to entries and agents. */
export const createControlMethods = (parts: ControlParts): RpcMethods => ({
  'control.register': createMethod(registerParams, (params) =>
    commit(parts, { type: 'register', ...params }),
  ),
  'control.renew': createMethod(renewParams, (params) => handleRenew(parts, params)),
  'control.announce': createMethod(announceParams, async (params) =>
    checkStale(await commit(parts, { type: 'announce', ...params }), 'control.announce'),
  ),
  'control.leave': createMethod(leaveParams, async (params) =>
    checkStale(await commit(parts, { type: 'leave', ...params }), 'control.leave'),
  ),
  'ledger.propose': createMethod(ledgerProposeParams, async ({ commands }) => {
    const applied = await Promise.all(commands.map((command) => parts.ledger.propose(command)));
    return applied.map((item) => item.unsafeCoerce().result);
  }),
  'ledger.countQueues': createMethod(z.strictObject({}), () => parts.ledgerState.countQueues()),
  'ledger.find': createMethod(ledgerFindParams, async ({ organisation, requestId }) => {
    (await parts.ledger.confirmRead()).unsafeCoerce();
    return parts.ledgerState.findRequest(organisation, requestId) ?? null;
  }),
});
