import type { FastifyInstance } from 'fastify';
import type { z } from 'zod';
import { createError } from '../errors';
import { checkSecret } from '../rpc';
import { putInventorySchema } from './configState';
import { commit, type ControlParts } from './controlApi';
import type { Members } from './members';

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
  members: Members,
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
      nodes: await members.listNodeStates(),
      config: parts.config.status(),
      ledger: parts.ledger.status(),
      revision: parts.configState.revision(),
    }));

    admin.get('/admin/bills', async () => {
      (await parts.ledger.confirmRead()).unsafeCoerce();
      return { bills: parts.ledgerState.listBills() };
    });
  });
};
