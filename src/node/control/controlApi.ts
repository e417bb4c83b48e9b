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
    message: `incarnation ${result.incarnation} replaced this one`,
    step,
  });
};

const register = async (
  parts: ControlContext,
  params: z.infer<typeof registerParams>,
): Promise<RegisterAnswer> => {
  const result = await commit(parts, { type: 'register', ...params });
  if (result.type !== 'registered') {
    const message = `unexpected answer '${result.type}'`;
    throw createError({ type: 'internal', message, step: 'control.register' });
  }
  const waitMs = result.mayOverlap ? parts.leaseMs : 0;
  return { incarnation: result.incarnation, waitMs };
};

const renew = async (
  parts: ControlContext,
  members: Membership,
  params: z.infer<typeof renewParams>,
): Promise<RenewAnswer> => {
  const { term, update } = await members.renew(params);
  return { term, leaseMs: parts.leaseMs, update };
};

/** Creates the methods that control answers to entries and agents. */
export const createControlMethods = (parts: ControlContext, members: Membership): RpcMethods => ({
  'control.register': createMethod(registerParams, (params) => register(parts, params)),
  'control.renew': createMethod(renewParams, (params) => renew(parts, members, params)),
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
