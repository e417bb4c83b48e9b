import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { createError } from '../errors';
import type { RpcClient } from '../rpc';
import type { AdminStatus } from '../shared';

const POLL_INTERVAL_MS = 20;
const START_TIMEOUT_MS = 30_000;

const isReady = (status: AdminStatus, endpoints: readonly string[]): boolean => {
  const live = status.members.filter(({ state }) => state === 'live');
  const hasAll = endpoints.every((name) => live.some(({ endpoint }) => endpoint === name));
  return hasAll && status.nodes.every(({ revision }) => revision >= status.revision);
};

/** Waits until the endpoints are live and every node has reached the current revision. */
export const waitForEndpoints = async (
  rpc: RpcClient,
  control: string,
  endpoints: readonly string[],
): Promise<void> => {
  const deadline = performance.now() + START_TIMEOUT_MS;
  while (performance.now() < deadline) {
    const response = await rpc.request(control, { path: '/admin/status', method: 'GET' });
    const status = (await response.body.json()) as AdminStatus;
    if (response.statusCode === 200 && isReady(status, endpoints)) return;
    await sleep(POLL_INTERVAL_MS);
  }
  const message = `endpoints not ready within ${START_TIMEOUT_MS} ms: ${endpoints.join(', ')}`;
  throw createError({ type: 'timeout', message, step: 'dev.start' });
};
