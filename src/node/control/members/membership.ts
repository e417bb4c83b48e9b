import { performance } from 'node:perf_hooks';
import { createError } from '../../errors';
import type { RpcClient } from '../../rpc';
import type { NodeState, StaleIncarnation } from '../../shared';
import type { ViewUpdate } from '../../view';
import type { NodeRecord } from '../configState';
import type { ControlContext } from '../controlContext';
import { createLeaseExpiry } from './leaseExpiry';
import { createLoadRateLimiter } from './loadRateLimiter';
import { createNodeTracker, type Sighting } from './nodeTracker';
import { createReadBatcher } from './readBatcher';
import { createRevisionWaiter } from './revisionWaiter';

/** Parameters of a lease renewal. */
export interface Renewal {
  readonly node: string;
  readonly incarnation: number;
  readonly revision: number;
  readonly waitMs: number;
}

/** Options of the membership service. */
export interface MembershipOptions {
  readonly context: ControlContext;
  readonly rpc: RpcClient;
  /**
   * Returns the address of the `config` group's leader, or undefined if it is unknown or this host.
   */
  readonly findLeaderAddress: () => string | undefined;
}

/** Manages the leases of nodes on one control host: renewals, sightings and expiry. */
export interface Membership {
  readonly renew: (
    renewal: Renewal,
  ) => Promise<{ readonly term: number; readonly update: ViewUpdate }>;
  readonly handleReport: (
    sightings: readonly (Omit<Sighting, 'seenAt'> & { ageMs: number })[],
  ) => void;
  /** Returns the state of every registered node, as known by the leader. */
  readonly listNodeStates: () => Promise<readonly NodeState[]>;
  readonly acquireLoad: (
    node: string,
    incarnation: number,
  ) => Promise<{ readonly isGranted: boolean; readonly waitMs: number }>;
  readonly start: () => void;
  readonly stop: () => void;
}

const TICK_MS = 250;
const DEFAULT_LOADS_PER_MINUTE = 60;

const createStaleError = (record: NodeRecord | undefined, renewal: Renewal) => {
  const isReplaced = record !== undefined && record.incarnation > renewal.incarnation;
  const data: StaleIncarnation = { isReplaced };
  return createError({
    type: 'stale_revision',
    message: `incarnation ${renewal.incarnation} of '${renewal.node}' is not the current one`,
    step: 'control.renew',
    data,
  });
};

/** Creates the membership service of one control host. */
export const createMembership = (options: MembershipOptions): Membership => {
  const { context, rpc } = options;
  const { config, configState, leaseMs, log } = context;
  const tracker = createNodeTracker();
  const reads = createReadBatcher(config);
  const loadLimiter = createLoadRateLimiter(performance.now());
  const changes = createRevisionWaiter(configState);
  const expiry = createLeaseExpiry(context, tracker, loadLimiter.reset);
  let timer: NodeJS.Timeout | undefined;

  const isLeader = (): boolean => config.status().role === 'leader';

  const checkIncarnation = (renewal: Renewal): NodeRecord => {
    const record = configState.findNode(renewal.node);
    if (record?.incarnation !== renewal.incarnation) throw createStaleError(record, renewal);
    return record;
  };

  const recordSighting = (renewal: Renewal): void => {
    const { node, incarnation, revision } = renewal;
    tracker.record({ node, incarnation, revision, seenAt: performance.now() });
  };

  // Confirms the read after the renewal has arrived, so that the answer includes everything
  // committed before the renewal was sent.
  const renew: Membership['renew'] = async (renewal) => {
    const point = (await reads.confirm()).unsafeCoerce();
    checkIncarnation(renewal);
    recordSighting(renewal);
    const isUnchanged = renewal.revision === configState.revision();
    if (isUnchanged && renewal.waitMs > 0) await changes.wait(renewal.waitMs);
    const record = checkIncarnation(renewal);
    const { role, host } = record;
    const scope = { role: role === 'agent' ? 'agent' : 'entry', host } as const;
    return { term: point.term, update: configState.readUpdate(renewal.revision, scope) };
  };

  const readNodeState = (record: NodeRecord, now: number): NodeState => {
    const { node, role, zone, host, address, incarnation } = record;
    const sighting = tracker.find(node);
    const seenAt = sighting?.incarnation === incarnation ? sighting.seenAt : expiry.graceUntil();
    const leaseLeftMs = Math.max(0, Math.round(seenAt + leaseMs - now));
    const revision = sighting?.incarnation === incarnation ? sighting.revision : 0;
    return { node, role, zone, host, address, incarnation, revision, leaseLeftMs };
  };

  const listNodeStates: Membership['listNodeStates'] = async () => {
    const leader = options.findLeaderAddress();
    if (!isLeader() && leader !== undefined) {
      return (await rpc.call<readonly NodeState[]>(leader, 'members.list', {})).unsafeCoerce();
    }
    const now = performance.now();
    return configState.listNodes().map((record) => readNodeState(record, now));
  };

  const sendReport = async (): Promise<void> => {
    const leader = options.findLeaderAddress();
    if (leader === undefined) return;
    const now = performance.now();
    const sightings = tracker
      .takeRecent()
      .map(({ seenAt, ...rest }) => ({ ...rest, ageMs: Math.max(0, now - seenAt) }));
    if (sightings.length === 0) return;
    const answer = await rpc.call(leader, 'members.report', { sightings });
    answer.ifLeft((error) => {
      log.warn(
        { step: error.step, peer: error.peer, reason: error.message },
        'sightings not reported to the leader',
      );
    });
  };

  const acquireLoad: Membership['acquireLoad'] = async (node, incarnation) => {
    const leader = options.findLeaderAddress();
    if (!isLeader() && leader !== undefined) {
      const params = { node, incarnation };
      return (
        await rpc.call<ReturnType<typeof loadLimiter.acquire>>(
          leader,
          'members.acquireLoad',
          params,
        )
      ).unsafeCoerce();
    }
    (await config.confirmRead()).unsafeCoerce();
    expiry.handleLeadership();
    checkIncarnation({ node, incarnation, revision: 0, waitMs: 0 });
    const rate = configState.inventory()?.rules.weightStore.loadsPerMinute;
    return loadLimiter.acquire(performance.now(), rate ?? DEFAULT_LOADS_PER_MINUTE);
  };

  const advance = async (): Promise<void> => {
    if (isLeader()) await expiry.run();
    else await sendReport();
  };

  const schedule = (): void => {
    timer = setTimeout(() => {
      advance()
        .catch((cause) => log.warn({ reason: String(cause) }, 'membership update failed'))
        .finally(schedule);
    }, TICK_MS);
  };

  return {
    renew,
    handleReport: (sightings) => {
      const now = performance.now();
      sightings.forEach(({ ageMs, ...rest }) => tracker.record({ ...rest, seenAt: now - ageMs }));
    },
    listNodeStates,
    acquireLoad,
    start: () => {
      schedule();
    },
    stop: () => {
      clearTimeout(timer);
      changes.release();
    },
  };
};
