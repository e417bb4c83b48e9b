import type { FastifyInstance } from 'fastify';
import { z } from 'zod';
import { createError } from '../errors';
import { checkSecret } from '../rpc';
import type { ReplicationHost } from './replicationHost';

const STEP = 'admin.replace';

const bodySchema = z.strictObject({
  lost: z.string().min(1),
  node: z.string().min(1).max(64),
  address: z.string().regex(/^[^\s:]+:\d{1,5}$/, 'use host:port with an IP address'),
});

/**
 * Registers `POST /admin/control/replace`, which replaces a lost control host with another node.
 */
export const registerReplaceRoute = (
  app: FastifyInstance,
  host: ReplicationHost,
  secret: string,
): void => {
  app.post('/admin/control/replace', async (request, reply) => {
    checkSecret(request, secret, STEP);
    const body = bodySchema.safeParse(request.body);
    if (!body.success) {
      const { message } = body.error;
      throw createError({ type: 'invalid_request', message, step: STEP });
    }
    const { lost, node, address } = body.data;
    return reply.send({ groups: await host.replaceMember(lost, { node, address }) });
  });
};
