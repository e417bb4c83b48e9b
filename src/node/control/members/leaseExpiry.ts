import { performance } from 'node:perf_hooks';
import type { NodeRecord } from '../configState';
import type { ControlContext } from '../controlContext';
import type { NodeTracker } from './nodeTracker';

/** Removes nodes whose lease has expired. Runs on the leader of the `config` group. */
export interface LeaseExpiry {
  /** Detects a new term and resets the grace period. Must be called before acting as leader. */
  readonly handleLeadership: () => void;
  readonly run: () => Promise<void>;
  /** Returns the end of the grace period. Until then, a node without a sighting counts as seen. */
  readonly graceUntil: () => number;
}

/** Added to the lease, because sightings reach the leader with a delay. */
const SIGHTING_DELAY_MARGIN_MS = 1_500;

/**
 * Creates the lease expiry of one control host. `handleTerm` is called at the start of each new
 * term.
 */
export const createLeaseExpiry = (
  context: ControlContext,
  tracker: NodeTracker,
  handleTerm: (now: number) => void,
): LeaseExpiry => {
  const { config, configState, leaseMs, log } = context;
  let leaderTerm = 0;
  let graceUntil = 0;

  const expire = async (record: NodeRecord): Promise<void> => {
    const { node, incarnation } = record;
    log.info({ peer: node, incarnation }, 'lease expired; removing node');
    const applied = await config.propose({ type: 'leave', node, incarnation });
    applied.ifRight(() => tracker.remove(node));
  };

  // A new leader has not received any sightings yet, so it grants every node a full lease.
  const handleLeadership = (): void => {
    const { term } = config.status();
    if (term === leaderTerm) return;
    leaderTerm = term;
    const now = performance.now();
    graceUntil = now + leaseMs + SIGHTING_DELAY_MARGIN_MS;
    handleTerm(now);
  };

  // Counts a registration as a sighting, because the first renewal may arrive after the next run.
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
