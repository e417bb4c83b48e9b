import type { FastifyInstance, FastifyReply } from 'fastify';
import type { z } from 'zod';
import { createError, formatErrorBody } from '../errors';
import { checkInventory, formatSuggestion, type Inventory } from '../inventory';
import { checkSecret, type RpcClient } from '../rpc';
import { billFilter, billsQuery, restoreBody, rolloutBody, withdrawBody } from '../shared';
import { computeBillRows, listMatchingBills } from './admin/bills';
import { createExplanation } from './admin/explain';
import { readStatus } from './admin/status';
import { putInventorySchema, type ConfigCommand, type ConfigResult } from './configState';
import { commit, type ControlContext } from './controlContext';
import type { Membership } from './members';

/** Dependencies of the operators' routes. */
export interface AdminRouteOptions {
  readonly context: ControlContext;
  readonly members: Membership;
  readonly rpc: RpcClient;
  /** Name of this control host. */
  readonly host: string;
  readonly secret: string;
}

const formatFaults = (
  faults: readonly { readonly path: readonly PropertyKey[]; readonly message: string }[],
): string => faults.map(({ path, message }) => `${path.join('.')}: ${message}`).join('; ');

const parseBody = <T>(schema: z.ZodType<T>, body: unknown, step: string): T => {
  const parsed = schema.safeParse(body);
  if (parsed.success) return parsed.data;
  const message = formatFaults(parsed.error.issues);
  throw createError({ type: 'invalid_request', message, step });
};

const checkReferences = (inventory: Inventory, step: string): void => {
  const faults = checkInventory(inventory);
  if (faults.length === 0) return;
  throw createError({ type: 'invalid_request', message: formatFaults(faults), step });
};

type Refusal = Exclude<ConfigResult, { readonly type: 'accepted' }>;

const createRefusalError = (result: Refusal, step: string) => {
  if (result.type === 'conflict') {
    const message = `change '${result.winner}' took revision ${result.inventoryRevision}`;
    return createError({ type: 'conflict', message, step, peer: result.winner });
  }
  if (result.type === 'reused') {
    const message = `change id '${result.changeId}' was used for another change`;
    return createError({ type: 'conflict', message, step, peer: result.changeId });
  }
  if (result.type === 'expired') {
    const message =
      `the change is based on revision ${result.oldestBase} or older, whose results are no longer ` +
      'kept; check the current configuration and resend the change with a new change id';
    return createError({ type: 'conflict', message, step });
  }
  if (result.type === 'refused') {
    return createError({ type: 'invalid_request', message: result.reason, step });
  }
  const message = `unexpected result '${result.type}' of a configuration change`;
  return createError({ type: 'internal', message, step, outcome: 'unknown' });
};

// The body of a conflict names the change that won and the inventory revision to base the next
// change on.
const sendResult = (
  reply: FastifyReply,
  requestId: string,
  result: ConfigResult,
  step: string,
): FastifyReply => {
  if (result.type === 'accepted') return reply.send(result);
  const error = createRefusalError(result, step);
  if (result.type !== 'conflict') throw error;
  const { winner, inventoryRevision } = result;
  return reply.code(409).send({ ...formatErrorBody(error, requestId), winner, inventoryRevision });
};

const checkVersion = (
  context: ControlContext,
  model: string,
  version: string,
  step: string,
): void => {
  const models = context.configState.inventory()?.models ?? [];
  const found = models.find((item) => item.name === model);
  if (!found) {
    const hint = formatSuggestion(
      model,
      models.map(({ name }) => name),
    );
    const message = `unknown model '${model}'${hint}`;
    throw createError({ type: 'not_found', message, step });
  }
  const versions = found.versions.map(({ name }) => name);
  if (versions.includes(version)) return;
  const message = `unknown version '${model}@${version}'${formatSuggestion(version, versions)}`;
  throw createError({ type: 'not_found', message, step });
};

const registerReadRoutes = (admin: FastifyInstance, options: AdminRouteOptions): void => {
  const { context, members, rpc, host } = options;

  admin.get('/admin/inventory', async () => {
    (await context.config.confirmRead()).unsafeCoerce();
    const { configState } = context;
    return {
      revision: configState.inventoryRevision(),
      inventory: configState.inventory() ?? null,
    };
  });

  admin.get('/admin/status', () => readStatus(context, members, host));

  admin.get('/admin/bills', async (request) => {
    const query = parseBody(billFilter, request.query, 'admin.bills');
    (await context.ledger.confirmRead()).unsafeCoerce();
    return { bills: listMatchingBills(context.ledgerState.listBills(), query) };
  });

  admin.get('/admin/bills/totals', async (request) => {
    const { ledgerState } = context;
    const query = parseBody(billsQuery, request.query, 'admin.bills');
    (await context.ledger.confirmRead()).unsafeCoerce();
    return { bills: computeBillRows(ledgerState.listBills(), ledgerState.listTotals(), query) };
  });

  admin.get('/admin/explain/:requestId', async (request) => {
    const { requestId } = request.params as { readonly requestId: string };
    return createExplanation(context, rpc, requestId);
  });
};

const registerChangeRoutes = (admin: FastifyInstance, { context }: AdminRouteOptions): void => {
  const { configState, log } = context;

  const commitChange = async (
    command: Extract<ConfigCommand, { readonly changeId: string }>,
  ): Promise<ConfigResult> => {
    const result = await commit(context, command);
    const { type: change, changeId } = command;
    log.info({ change, changeId, answer: result.type }, 'configuration change processed');
    return result;
  };

  // Validates the model and version against the current inventory. Skips a repeated change: it gets
  // its first result again.
  const checkNewChange = async (
    changeId: string,
    model: string,
    version: string,
    step: string,
  ): Promise<void> => {
    (await context.config.confirmRead()).unsafeCoerce();
    if (!configState.hasAnswer(changeId)) checkVersion(context, model, version, step);
  };

  admin.put('/admin/inventory', async (request, reply) => {
    const step = 'admin.inventory';
    const body = parseBody(putInventorySchema, request.body, step);
    checkReferences(body.inventory, step);
    const result = await commitChange({ type: 'putInventory', ...body });
    return sendResult(reply, request.id, result, step);
  });

  admin.post('/admin/withdraw', async (request, reply) => {
    const step = 'admin.withdraw';
    const body = parseBody(withdrawBody, request.body, step);
    const { changeId, model, version, reason } = body;
    await checkNewChange(changeId, model, version, step);
    const base = body.base ?? configState.revision();
    const withdrawal = { model, version, reason };
    const result = await commitChange({ type: 'withdraw', base, changeId, withdrawal });
    return sendResult(reply, request.id, result, step);
  });

  admin.post('/admin/restore', async (request, reply) => {
    const step = 'admin.restore';
    const body = parseBody(restoreBody, request.body, step);
    const { changeId, model, version } = body;
    await checkNewChange(changeId, model, version, step);
    const base = body.base ?? configState.revision();
    const result = await commitChange({ type: 'restore', base, changeId, model, version });
    return sendResult(reply, request.id, result, step);
  });

  admin.post('/admin/rollout', async (request, reply) => {
    const step = 'admin.rollout';
    const { base, changeId, ...change } = parseBody(rolloutBody, request.body, step);
    const { model, version } = change;
    if (version !== undefined) await checkNewChange(changeId, model, version, step);
    const result = await commitChange({
      type: 'changeRollout',
      base: base ?? configState.revision(),
      changeId,
      change,
    });
    return sendResult(reply, request.id, result, step);
  });
};

/** Registers the operators' routes under `/admin`. They require the operators' secret. */
export const registerAdminRoutes = (app: FastifyInstance, options: AdminRouteOptions): void => {
  const { secret } = options;
  app.register(async (admin) => {
    admin.addHook('onRequest', async (request) => checkSecret(request, secret, 'admin.authorise'));
    registerReadRoutes(admin, options);
    registerChangeRoutes(admin, options);
  });
};
