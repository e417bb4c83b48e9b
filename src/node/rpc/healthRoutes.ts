import type { FastifyInstance } from 'fastify';

/**
 * Registers `/livez` and `/readyz`. `/readyz` returns 503 until the process can accept requests.
 */
export const registerHealthRoutes = (app: FastifyInstance, isReady: () => boolean): void => {
  app.get('/livez', async () => ({ status: 'live' }));
  app.get('/readyz', async (_request, reply) => {
    if (isReady()) return { status: 'ready' };
    return reply.code(503).send({ status: 'not ready' });
  });
};
