import { setTimeout as sleep } from 'node:timers/promises';
import { convertToRouterError } from '../errors';
import type { Logger } from '../log';
import { createRouteTable, type RouteTable, type ServiceRollout } from '../routing';
import {
  createChangeNotifier,
  type RetiredVersion,
  type RolloutAge,
  type RoutingAnswer,
  type VersionTally,
} from '../routingControl';
import type { RpcClient } from '../rpc';
import { resolveGatewayCount, type CountSample } from './gatewayCount';
import type { LeaseClock, ClockReading } from './leaseClock';
import { createRoutingWatch } from './routingWatch';

/** The routing state that a gateway acts on. */
export interface RoutingSnapshot {
  readonly revision: number;
  readonly table: RouteTable;
  readonly rollouts: readonly ServiceRollout[];
  readonly retired: readonly RetiredVersion[];
  /**
   * Monotonic time in milliseconds at which each roll-out started, by service and target: the
   * earliest that the control hosts or this gateway know of.
   */
  readonly rolloutStartedAt: ReadonlyMap<string, number>;
  /** Gateways that share the endpoints, this one included. */
  readonly gatewayCount: number;
  /** Zones whose endpoints get no requests. */
  readonly evacuatedZones: ReadonlySet<string>;
}

/** Watches the routing state on the control hosts and holds a lease on it. */
export interface RoutingView {
  /** Returns the snapshot while the lease is valid. */
  readonly read: () => RoutingSnapshot | undefined;
  /** Waits up to `timeoutMs` milliseconds for a snapshot with a valid lease. */
  readonly waitForSnapshot: (timeoutMs: number) => Promise<RoutingSnapshot | undefined>;
  /**
   * Returns the milliseconds since the latest successful watch call was sent; infinite before the
   * first.
   */
  readonly readAgeMs: () => number;
  /** Lists the internal addresses of all known control hosts. */
  readonly listControlHosts: () => readonly string[];
  /**
   * Returns the internal address of the leading control host, or of the last one that answered, if
   * known.
   */
  readonly findLeader: () => string | undefined;
  readonly start: () => void;
  readonly stop: () => void;
}

/** Options of a routing view. */
export interface RoutingViewOptions {
  readonly gateway: string;
  readonly controlHosts: readonly string[];
  /** How long a snapshot stays valid after its confirmation, in milliseconds. */
  readonly leaseMs: number;
  readonly rpc: Pick<RpcClient, 'call'>;
  readonly clock: LeaseClock;
  readonly log: Logger;
  readonly listTallies: () => readonly VersionTally[];
}

const RETRY_PAUSE_MS = 50;
/** Changes arrive in bursts; a pause between two watch calls limits the number of calls. */
const WATCH_PAUSE_MS = 20;

const mergeAddresses = (lists: readonly (readonly string[])[]): readonly string[] => [
  ...new Set(lists.flat()),
];

/** Formats the key that identifies a roll-out. */
export const formatRolloutKey = ({ service, target }: Pick<ServiceRollout, 'service' | 'target'>) =>
  `${service}|${target}`;

interface StartTimesInput {
  readonly rollouts: readonly ServiceRollout[];
  /** Ages by the control host's answer. */
  readonly ages: readonly RolloutAge[];
  /** Start times known so far. */
  readonly known: ReadonlyMap<string, number> | undefined;
  readonly now: number;
}

/**
 * Resolves the start times of roll-outs. A gateway that starts during a roll-out learns its age from
 * the control host.
 */
export const resolveStartTimes = ({
  rollouts,
  ages,
  known,
  now,
}: StartTimesInput): ReadonlyMap<string, number> => {
  const ageByKey = new Map(ages.map((age) => [formatRolloutKey(age), age.ageMs]));
  return new Map(
    rollouts.map((rollout) => {
      const key = formatRolloutKey(rollout);
      return [key, Math.min(known?.get(key) ?? now, now - (ageByKey.get(key) ?? 0))] as const;
    }),
  );
};

const listRolloutAges = (
  snapshot: RoutingSnapshot | undefined,
  now: number,
): readonly RolloutAge[] =>
  (snapshot?.rollouts ?? []).map(({ service, target }) => {
    const startedAt = snapshot?.rolloutStartedAt.get(formatRolloutKey({ service, target })) ?? now;
    return { service, target, ageMs: Math.max(0, now - startedAt) };
  });

const logEvacuated = (
  log: Logger,
  known: RoutingSnapshot | undefined,
  { evacuatedZones, revision }: Pick<RoutingSnapshot, 'evacuatedZones' | 'revision'>,
): void => {
  const before = [...(known?.evacuatedZones ?? [])];
  const isSame = before.length === evacuatedZones.size;
  if (isSame && before.every((zone) => evacuatedZones.has(zone))) return;
  log.info({ before, evacuatedZones: [...evacuatedZones], revision }, 'evacuated zones changed');
};

/** Creates a routing view. It sends no calls before `start`. */
export const createRoutingView = (options: RoutingViewOptions): RoutingView => {
  const { leaseMs, clock, log } = options;
  const watch = createRoutingWatch(options);
  let hosts: readonly string[] = options.controlHosts;
  let preferredHost = '';
  let nextHostIndex = Math.floor(Math.random() * Math.max(1, hosts.length));
  let snapshot: RoutingSnapshot | undefined;
  let revision = -1;
  let countSamples: readonly CountSample[] = [];
  let confirmedAt: ClockReading | undefined;
  const snapshotNotifier = createChangeNotifier();
  let wasLeased = false;
  let isStopped = false;

  const readAgeMs = (): number => (confirmedAt ? clock.computeElapsedMs(confirmedAt) : Infinity);

  const isLeased = (): boolean => readAgeMs() < leaseMs;

  const logLease = (): void => {
    const isHeld = isLeased();
    if (isHeld === wasLeased) return;
    wasLeased = isHeld;
    if (isHeld) log.info({ revision, hosts }, 'lease acquired');
    else log.warn({ revision, ageMs: Math.round(readAgeMs()) }, 'lease expired; refusing work');
  };

  const applyAnswer = (host: string, answer: RoutingAnswer, askedAt: ClockReading): void => {
    hosts = mergeAddresses([answer.controlHosts, options.controlHosts]);
    // A host that lags behind may return an older revision than the one in use.
    if (answer.revision < revision) return;
    const { update, rolloutAges: ages = [] } = answer;
    const known = snapshot?.rolloutStartedAt;
    const now = clock.readClocks().monotonicMs;
    const isFromLeader = host === answer.leader;
    countSamples = resolveGatewayCount(countSamples, {
      count: answer.gatewayCount,
      isFromLeader,
      now,
    });
    const gatewayCount = Math.max(...countSamples.map(({ count }) => count));
    if (update) {
      const before = revision;
      revision = answer.revision;
      const { config, rollouts, retired } = update;
      const evacuatedZones = new Set(update.evacuatedZones);
      logEvacuated(log, snapshot, { evacuatedZones, revision });
      snapshot = config
        ? {
            revision,
            table:
              snapshot?.table.config.version === config.version
                ? snapshot.table
                : createRouteTable(config),
            rollouts,
            retired,
            rolloutStartedAt: resolveStartTimes({ rollouts, ages, known, now }),
            gatewayCount,
            evacuatedZones,
          }
        : undefined;
      log.info({ before, revision, version: config?.version ?? 0, rollouts }, 'routing updated');
    } else if (snapshot) {
      snapshot = {
        ...snapshot,
        rolloutStartedAt: resolveStartTimes({ rollouts: snapshot.rollouts, ages, known, now }),
        gatewayCount,
      };
    }
    confirmedAt = askedAt;
    logLease();
    if (snapshot) snapshotNotifier.notify();
  };

  // Begins with the leader; the others follow in turn, so that failures spread over all hosts.
  const listHostsToAsk = (): readonly string[] => {
    const start = nextHostIndex % hosts.length;
    const others = [...hosts.slice(start), ...hosts.slice(0, start)];
    if (!hosts.includes(preferredHost)) return others;
    return [preferredHost, ...others.filter((host) => host !== preferredHost)];
  };

  const renewLease = async (): Promise<void> => {
    const hostsToAsk = listHostsToAsk();
    const rolloutAges = listRolloutAges(snapshot, clock.readClocks().monotonicMs);
    const fetched = await watch.fetch(hostsToAsk, { revision, rolloutAges });
    if (isStopped) return;
    fetched.ifRight(({ host, value: { answer, askedAt } }) => {
      if (host !== hostsToAsk[0]) {
        nextHostIndex += 1;
        const facts = { silent: hostsToAsk[0], peer: host, leader: answer.leader };
        log.info(facts, 'watch of the routing state answered by another control host');
      }
      preferredHost = answer.leader === '' ? host : answer.leader;
      applyAnswer(host, answer, askedAt);
    });
    fetched.ifLeft((error) => {
      preferredHost = '';
      nextHostIndex += 1;
      log.debug({ hosts: hostsToAsk, err: error.message }, 'no control host answered; retrying');
      logLease();
    });
    await sleep(fetched.isRight() ? WATCH_PAUSE_MS : RETRY_PAUSE_MS);
  };

  const run = async (): Promise<void> => {
    while (!isStopped) await renewLease();
  };

  const readSnapshot = (): RoutingSnapshot | undefined => (isLeased() ? snapshot : undefined);

  const waitForSnapshot: RoutingView['waitForSnapshot'] = async (timeoutMs) => {
    if (!readSnapshot() && timeoutMs > 0) await snapshotNotifier.wait(timeoutMs);
    return readSnapshot();
  };

  return {
    read: readSnapshot,
    waitForSnapshot,
    readAgeMs,
    listControlHosts: () => hosts,
    findLeader: () => (preferredHost === '' ? undefined : preferredHost),
    start: () => {
      run().catch((cause: unknown) => {
        const error = convertToRouterError(cause, 'gateway.watch');
        log.fatal({ err: error }, 'watch of the routing state stopped after an unexpected error');
      });
    },
    stop: () => {
      isStopped = true;
    },
  };
};
