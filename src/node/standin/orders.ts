import type { FastifyInstance } from 'fastify';
import { z } from 'zod';
import { createError } from '../errors';
import type { ServedVersion } from '../inventory';

const orderSchema = z.object({
  fence: z.number().int(),
  endpoint: z.string(),
  order: z.discriminatedUnion('type', [
    z.object({ type: z.literal('load'), model: z.string(), version: z.string() }),
    z.object({ type: z.literal('unload'), model: z.string(), version: z.string() }),
    z.object({ type: z.literal('setRole'), role: z.string() }),
    z.object({ type: z.literal('loadAdapter'), adapter: z.string() }),
    z.object({ type: z.literal('unloadAdapter'), adapter: z.string() }),
  ]),
});

/** An order recorded by the stand-in engine, and whether the engine accepted it. */
export type StandinOrder = Readonly<z.infer<typeof orderSchema>> & { readonly isTaken: boolean };

/** The versions, adapters and role of a stand-in engine, as changed by orders. */
export interface StandinEngineState {
  readonly listServed: () => readonly ServedVersion[];
  readonly readRole: () => string | undefined;
  readonly listAdapters: () => readonly string[];
  readonly listOrders: () => readonly StandinOrder[];
}

/**
 * Registers `POST /orders`. With `checksFencing`, refuses an order if its fencing number is lower
 * than the highest one seen.
 */
export const registerOrders = (
  app: FastifyInstance,
  serves: readonly ServedVersion[],
  checksFencing: boolean,
): StandinEngineState => {
  const orders: StandinOrder[] = [];
  let served = [...serves];
  let adapters: string[] = [];
  let role: string | undefined;
  let highestFence = 0;

  const isOtherVersion = (item: ServedVersion, model: string, version: string): boolean =>
    item.model !== model || item.version !== version;

  const applyOrder = ({ order }: z.infer<typeof orderSchema>): void => {
    if (order.type === 'setRole') role = order.role;
    if (order.type === 'loadAdapter') adapters = [...adapters, order.adapter];
    if (order.type === 'unloadAdapter') {
      adapters = adapters.filter((item) => item !== order.adapter);
    }
    if (order.type !== 'load' && order.type !== 'unload') return;
    const { model, version } = order;
    served = served.filter((item) => isOtherVersion(item, model, version));
    if (order.type === 'load') served = [...served, { model, version }];
  };

  app.post('/orders', async (request) => {
    const parsed = orderSchema.safeParse(request.body);
    if (!parsed.success) {
      const message = parsed.error.issues[0]?.message ?? 'the body does not match the schema';
      throw createError({ type: 'invalid_request', message, step: 'engine.order' });
    }
    const isTaken = !checksFencing || parsed.data.fence >= highestFence;
    orders.push({ ...parsed.data, isTaken });
    if (!isTaken) {
      const message = `fencing number ${parsed.data.fence} is lower than ${highestFence}`;
      throw createError({ type: 'conflict', message, step: 'engine.order' });
    }
    highestFence = Math.max(highestFence, parsed.data.fence);
    applyOrder(parsed.data);
    return { type: 'done' };
  });

  return {
    listServed: () => served,
    readRole: () => role,
    listAdapters: () => adapters,
    listOrders: () => orders,
  };
};
