import { performance } from 'node:perf_hooks';
import { request as requestHttp } from 'undici';
import type { LeaseClient } from '../lease';
import type { Logger } from '../log';
import type { RpcClient } from '../rpc';
import type { LoadPermit } from '../shared';
import { isVersionWithdrawn } from '../view';
import type { AnnouncementStore, EngineAnnouncement } from './announcements';
import { listOrders, type EngineOrder } from './orderPlan';

/** Options of an endpoint reconciler. */
export interface EndpointReconcilerOptions {
  readonly node: string;
  readonly lease: LeaseClient;
  readonly announcements: AnnouncementStore;
  readonly rpc: RpcClient;
  readonly log: Logger;
  /** Returns whether attempts on a version are queued or running. */
  readonly hasWork: (model: string, version: string) => boolean;
}

/** Sends orders that bring the endpoints on this agent's host to their desired state. */
export interface EndpointReconciler {
  /** Sends at most one order to each endpoint, and none without a lease. */
  readonly advance: () => Promise<void>;
  readonly start: () => void;
  readonly stop: () => Promise<void>;
}

const RECONCILE_INTERVAL_MS = 500;
const ORDER_TIMEOUT_MS = 60_000;
const RETRY_DELAY_MS = 5_000;
const HTTP_CONFLICT = 409;

/** Creates the reconciler of one agent. The fencing number is the agent's incarnation. */
export const createEndpointReconciler = (
  options: EndpointReconcilerOptions,
): EndpointReconciler => {
  const { node, lease, announcements, rpc, log, hasWork } = options;
  const retryAt = new Map<string, number>();
  let timer: NodeJS.Timeout | undefined;
  let running: Promise<void> = Promise.resolve();
  let isStopped = false;

  const constraints = {
    isWithdrawn: (model: string, version: string) => isVersionWithdrawn(lease.view, model, version),
    hasWork,
  };

  const acquirePermit = async (order: EngineOrder): Promise<boolean> => {
    if (order.type !== 'load') return true;
    const { model, version } = order;
    const params = { node, incarnation: lease.incarnation(), model, version };
    const answer = await rpc.call<LoadPermit>(
      lease.controlAddress(),
      'control.acquireLoad',
      params,
    );
    return answer.map((permit) => permit.isGranted).orDefault(false);
  };

  const sendOrder = async (engine: EngineAnnouncement, order: EngineOrder): Promise<void> => {
    const fence = lease.incarnation();
    const { endpoint } = engine;
    const response = await requestHttp(`http://${engine.address}/orders`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ fence, endpoint, order }),
      headersTimeout: ORDER_TIMEOUT_MS,
    });
    await response.body.dump();
    const { statusCode: status } = response;
    log.info(
      { endpoint, fence, order, status, reason: 'inventory' },
      'sent an order to the engine',
    );
    // The engine has seen a higher fencing number, so a newer agent controls it.
    if (status === HTTP_CONFLICT) retryAt.set(endpoint, Infinity);
    else if (status >= HTTP_CONFLICT) retryAt.set(endpoint, performance.now() + RETRY_DELAY_MS);
  };

  const advanceEndpoint = async (engine: EngineAnnouncement): Promise<void> => {
    const { endpoint } = engine;
    if ((retryAt.get(endpoint) ?? 0) > performance.now()) return;
    const [order] = listOrders(lease.view.find('endpoint', endpoint), engine, constraints);
    if (!order || !(await acquirePermit(order))) return;
    // The lease is checked last, immediately before the order is sent.
    if (!lease.isValid()) return;
    try {
      await sendOrder(engine, order);
    } catch (cause) {
      retryAt.set(endpoint, performance.now() + RETRY_DELAY_MS);
      log.warn(
        { endpoint, order, reason: String(cause) },
        'order to the engine failed; retrying later',
      );
    }
  };

  const advance = async (): Promise<void> => {
    if (!lease.isValid()) return;
    await Promise.all(announcements.list().map(advanceEndpoint));
  };

  const schedule = (): void => {
    if (isStopped) return;
    timer = setTimeout(() => {
      running = advance().finally(schedule);
    }, RECONCILE_INTERVAL_MS);
  };

  return {
    advance,
    start: schedule,
    stop: async () => {
      isStopped = true;
      clearTimeout(timer);
      await running;
    },
  };
};
