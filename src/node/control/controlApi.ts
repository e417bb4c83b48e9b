import { z } from 'zod';
import { createError } from '../errors';
import { createMethod, type RpcMethods } from '../rpc';
import {
  acquireLoadParams,
  announceParams,
  leaveParams,
  ledgerFindParams,
  ledgerProposeParams,
  membersReportParams,
  registerParams,
  renewParams,
  type RegisterAnswer,
  type RenewAnswer,
} from '../shared';
import type { ConfigResult } from './configState';
import { commit, type ControlContext } from './controlContext';
import type { Membership } from './members';

const checkStale = (result: ConfigResult, step: string): ConfigResult => {
  if (result.type !== 'stale') return result;
  throw createError({
    type: 'stale_revision',
    message: `stale incarnation; the current one is ${result.incarnation}`,
    step,
  });
};

const register = async (
  context: ControlContext,
  params: z.infer<typeof registerParams>,
): Promise<RegisterAnswer> => {
  const result = await commit(context, { type: 'register', ...params });
  if (result.type !== 'registered') {
    const message = `unexpected result '${result.type}' of the registration of '${params.node}'`;
    throw createError({ type: 'internal', message, step: 'control.register' });
  }
  const waitMs = result.mayOverlap ? context.leaseMs : 0;
  return { incarnation: result.incarnation, waitMs };
};

const renew = async (
  context: ControlContext,
  members: Membership,
  params: z.infer<typeof renewParams>,
): Promise<RenewAnswer> => {
  const { term, update } = await members.renew(params);
  return { term, leaseMs: context.leaseMs, update };
};

/** Creates the RPC methods that entries, agents and other control hosts call. */
export const createControlMethods = (context: ControlContext, members: Membership): RpcMethods => ({
  'control.register': createMethod(registerParams, (params) => register(context, params)),
  'control.renew': createMethod(renewParams, (params) => renew(context, members, params)),
  'control.acquireLoad': createMethod(acquireLoadParams, ({ node, incarnation }) =>
    members.acquireLoad(node, incarnation),
  ),
  'members.acquireLoad': createMethod(leaveParams, ({ node, incarnation }) =>
    members.acquireLoad(node, incarnation),
  ),
  'members.list': createMethod(z.strictObject({}), () => members.listNodeStates()),
  'members.report': createMethod(membersReportParams, ({ sightings }) => {
    members.handleReport(sightings);
    return { type: 'recorded' };
  }),
  'control.announce': createMethod(announceParams, async (params) =>
    checkStale(await commit(context, { type: 'announce', ...params }), 'control.announce'),
  ),
  'control.leave': createMethod(leaveParams, async (params) =>
    checkStale(await commit(context, { type: 'leave', ...params }), 'control.leave'),
  ),
  'ledger.propose': createMethod(ledgerProposeParams, async ({ commands }) => {
    const applied = await Promise.all(commands.map((command) => context.ledger.propose(command)));
    return applied.map((item) => item.unsafeCoerce().result);
  }),
  'ledger.countQueues': createMethod(z.strictObject({}), () => context.ledgerState.countQueues()),
  'ledger.find': createMethod(ledgerFindParams, async ({ organisation, requestId }) => {
    (await context.ledger.confirmRead()).unsafeCoerce();
    return context.ledgerState.findRequest(organisation, requestId) ?? null;
  }),
});
