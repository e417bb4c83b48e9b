import { performance } from 'node:perf_hooks';
import type { NodeRecord } from '../configState';
import type { ControlContext } from '../controlContext';
import type { NodeTracker } from './nodeTracker';

/** Removes nodes whose lease has run out, on the leader of the `config` group. */
export interface LeaseExpiry {
  /** Takes note of a new term of leadership; call before acting as leader. */
  readonly handleLeadership: () => void;
  readonly run: () => Promise<void>;
  /** Time before which a node without a sighting counts as seen. */
  readonly graceUntil: () => number;
}

/** Added to the lease, since sightings reach the leader late. */
const SIGHTING_DELAY_MARGIN_MS = 1_500;

/** Creates the expiry of one control host; `handleTerm` is called at each new term. */
export const createLeaseExpiry = (
  parts: ControlContext,
  tracker: NodeTracker,
  handleTerm: (now: number) => void,
): LeaseExpiry => {
  const { config, configState, leaseMs, log } = parts;
  let leaderTerm = 0;
  let graceUntil = 0;

  const expire = async (record: NodeRecord): Promise<void> => {
    const { node, incarnation } = record;
    log.info({ peer: node, incarnation }, 'lease has run out, node removed');
    const applied = await config.propose({ type: 'leave', node, incarnation });
    applied.ifRight(() => tracker.remove(node));
  };

  // A new leader has not heard of any renewal yet and gives every node a whole lease.
  const handleLeadership = (): void => {
    const { term } = config.status();
    if (term === leaderTerm) return;
    leaderTerm = term;
    const now = performance.now();
    graceUntil = now + leaseMs + SIGHTING_DELAY_MARGIN_MS;
    handleTerm(now);
  };

  // A registration counts as a sighting: the first renewal may come later than the next run.
  const recordRegistration = ({ node, incarnation }: NodeRecord, now: number): void => {
    if (tracker.find(node)?.incarnation === incarnation) return;
    tracker.record({ node, incarnation, revision: 0, seenAt: now });
  };

  const run = async (): Promise<void> => {
    handleLeadership();
    const now = performance.now();
    configState.listNodes().forEach((record) => recordRegistration(record, now));
    if (now < graceUntil) return;
    const oldest = now - leaseMs - SIGHTING_DELAY_MARGIN_MS;
    const isExpired = (record: NodeRecord): boolean =>
      (tracker.find(record.node)?.seenAt ?? now) < oldest;
    for (const record of configState.listNodes().filter(isExpired)) await expire(record);
  };

  return { handleLeadership, run, graceUntil: () => graceUntil };
};
