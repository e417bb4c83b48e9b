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

/** What a renewal asks. */
export interface Renewal {
  readonly node: string;
  readonly incarnation: number;
  readonly revision: number;
  readonly waitMs: number;
}

/** What the members service needs besides the groups. */
export interface MembershipOptions {
  readonly parts: ControlContext;
  readonly rpc: RpcClient;
  /** Address of the leader of the `config` group, or nothing when unknown or this host. */
  readonly findLeaderAddress: () => string | undefined;
}

/** Leases, sightings and expiry of nodes on one control host. */
export interface Membership {
  readonly renew: (
    renewal: Renewal,
  ) => Promise<{ readonly term: number; readonly update: ViewUpdate }>;
  readonly handleReport: (
    sightings: readonly (Omit<Sighting, 'seenAt'> & { ageMs: number })[],
  ) => void;
  /** Asks the leader for the state of every registered node. */
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
    message: `incarnation ${renewal.incarnation} of '${renewal.node}' is not current`,
    step: 'control.renew',
    data,
  });
};

/** Creates the members service of one control host. */
export const createMembership = (options: MembershipOptions): Membership => {
  const { parts, rpc } = options;
  const { config, configState, leaseMs, log } = parts;
  const tracker = createNodeTracker();
  const reads = createReadBatcher(config);
  const loadLimiter = createLoadRateLimiter(performance.now());
  const changes = createRevisionWaiter(configState);
  const expiry = createLeaseExpiry(parts, tracker, loadLimiter.reset);
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

  // The read is confirmed after the renewal has come in, so the answer holds everything that was
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
      log.warn({ step: error.step, peer: error.peer, reason: error.message }, 'report not sent');
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
        .catch((cause) => log.warn({ reason: String(cause) }, 'members not updated'))
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
