import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { createError } from '../errors';
import type { AdminStatus, NodeState } from '../shared';
import type { AdminClient } from '../rpc';

/** The result of waiting until a change is in force everywhere. */
export interface InForceResult {
  readonly revision: number;
  readonly elapsedMs: number;
  /** Number of nodes that reported the revision. */
  readonly nodes: number;
  /** Nodes that did not report the revision and whose lease has expired. */
  readonly withoutLease: readonly string[];
}

const POLL_INTERVAL_MS = 50;

const isInForce = (node: NodeState, revision: number): boolean =>
  node.revision >= revision || node.leaseLeftMs <= 0;

const readStatus = async (client: AdminClient): Promise<AdminStatus> =>
  (await client.call<AdminStatus>('GET', '/admin/status')).unsafeCoerce();

/**
 * Waits until every registered node has the revision or holds no lease. A lease granted before the
 * change expires within its duration, so a longer wait means that control did not answer.
 */
export const waitInForce = async (
  client: AdminClient,
  revision: number,
  limitMs: number,
): Promise<InForceResult> => {
  const startedAt = performance.now();
  for (;;) {
    const { nodes } = await readStatus(client);
    const elapsedMs = Math.round(performance.now() - startedAt);
    const pendingNodes = nodes.filter((node) => !isInForce(node, revision));
    if (pendingNodes.length === 0) {
      const hasRevision = (node: NodeState): boolean => node.revision >= revision;
      const withoutLease = nodes.filter((node) => !hasRevision(node)).map(({ node }) => node);
      return { revision, elapsedMs, nodes: nodes.filter(hasRevision).length, withoutLease };
    }
    if (elapsedMs > limitMs) {
      const names = pendingNodes.map(({ node }) => node).join(', ');
      const message = `revision ${revision} was accepted, but is not in force after ${elapsedMs} ms on ${names}`;
      throw createError({ type: 'timeout', message, step: 'operator.wait', outcome: 'ran' });
    }
    await sleep(POLL_INTERVAL_MS);
  }
};

/** Formats the result of waiting until a change is in force. */
export const formatInForce = (result: InForceResult): string => {
  const withoutLeaseCount = result.withoutLease.length;
  const leaseNote =
    withoutLeaseCount === 0
      ? ''
      : `, ${withoutLeaseCount} without a lease: ${result.withoutLease.join(', ')}`;
  return `in force everywhere after ${result.elapsedMs} ms (${result.nodes} nodes${leaseNote})\n`;
};
