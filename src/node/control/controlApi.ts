import type { FastifyInstance } from 'fastify';
import { z } from 'zod';
import { createError } from '../errors';
import type { LedgerCommand, LedgerResult, LedgerState } from '../ledger';
import type { Logger } from '../log';
import type { Replica } from '../replication';
import { checkSecret, createMethod, type RpcMethods } from '../rpc';
import {
  announceParams,
  leaveParams,
  ledgerFindParams,
  ledgerProposeParams,
  registerParams,
  renewParams,
  type RenewAnswer,
} from '../shared';
import {
  putInventorySchema,
  type ConfigCommand,
  type ConfigResult,
  type ConfigState,
} from './configState';

/** The groups and states that the control services work on. */
export interface ControlParts {
  readonly config: Replica<ConfigCommand, ConfigResult>;
  readonly configState: ConfigState;
  readonly ledger: Replica<LedgerCommand, LedgerResult>;
  readonly ledgerState: LedgerState;
  readonly leaseMs: number;
  readonly log: Logger;
}

const commit = async (parts: ControlParts, command: ConfigCommand): Promise<ConfigResult> => {
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
  'ledger.find': createMethod(ledgerFindParams, async ({ organisation, requestId }) => {
    (await parts.ledger.confirmRead()).unsafeCoerce();
    return parts.ledgerState.findRequest(organisation, requestId) ?? null;
  }),
});

const parseBody = <T>(schema: z.ZodType<T>, body: unknown, step: string): T => {
  const parsed = schema.safeParse(body);
  if (parsed.success) return parsed.data;
  const lines = parsed.error.issues.map((issue) => `${issue.path.join('.')}: ${issue.message}`);
  throw createError({ type: 'invalid_request', message: lines.join('; '), step });
};

/** Registers the operators' routes below `/admin`, behind the operators' secret. */
export const registerAdminRoutes = (
  app: FastifyInstance,
  parts: ControlParts,
  secret: string,
): void => {
  app.register(async (admin) => {
    admin.addHook('onRequest', async (request) => checkSecret(request, secret, 'admin.authorise'));

    admin.get('/admin/inventory', async () => {
      (await parts.config.confirmRead()).unsafeCoerce();
      const { configState } = parts;
      return {
        revision: configState.inventoryRevision(),
        inventory: configState.inventory() ?? null,
      };
    });

    admin.put('/admin/inventory', async (request, reply) => {
      const body = parseBody(putInventorySchema, request.body, 'admin.inventory');
      const result = await commit(parts, { type: 'putInventory', ...body });
      if (result.type === 'conflict') {
        throw createError({
          type: 'conflict',
          message: `change '${result.winner}' took revision ${result.inventoryRevision}`,
          step: 'admin.inventory',
          peer: result.winner,
        });
      }
      parts.log.info({ change: body.changeId, result }, 'inventory accepted');
      return reply.send(result);
    });

    admin.get('/admin/status', async () => ({
      config: parts.config.status(),
      ledger: parts.ledger.status(),
      revision: parts.configState.revision(),
      nodes: parts.configState.listNodes(),
    }));

    admin.get('/admin/bills', async () => {
      (await parts.ledger.confirmRead()).unsafeCoerce();
      return { bills: parts.ledgerState.listBills() };
    });
  });
};
