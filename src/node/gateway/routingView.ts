import { setTimeout as sleep } from 'node:timers/promises';
import { convertToRouterError } from '../errors';
import type { Logger } from '../log';
import { createRouteTable, type RouteTable, type ServiceRollout } from '../routing';
import {
  createChangeNotifier,
  type ConfigId,
  type RetiredVersion,
  type RolloutAge,
  type RoutingAnswer,
  type RoutingUpdate,
  type VersionTally,
} from '../routingControl';
import type { RpcClient } from '../rpc';
import { createConfigFetch, type HeldConfig } from './configFetch';
import { createConfigFollower, type NamedConfig } from './configFollower';
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
  { rollouts, rolloutStartedAt }: Pick<RoutingSnapshot, 'rollouts' | 'rolloutStartedAt'>,
  now: number,
): readonly RolloutAge[] =>
  rollouts.map(({ service, target }) => {
    const startedAt = rolloutStartedAt.get(formatRolloutKey({ service, target })) ?? now;
    return { service, target, ageMs: Math.max(0, now - startedAt) };
  });

const logEvacuated = (
  log: Logger,
  known: Pick<RoutingSnapshot, 'evacuatedZones'>,
  { evacuatedZones, revision }: Pick<RoutingSnapshot, 'evacuatedZones' | 'revision'>,
): void => {
  const before = [...known.evacuatedZones];
  const isSame = before.length === evacuatedZones.size;
  if (isSame && before.every((zone) => evacuatedZones.has(zone))) return;
  log.info({ before, evacuatedZones: [...evacuatedZones], revision }, 'evacuated zones changed');
};

/** What the latest answer of a control host says, apart from the configuration. */
type KnownOrders = Omit<RoutingSnapshot, 'table'>;

const NO_ORDERS: KnownOrders = {
  revision: -1,
  rollouts: [],
  retired: [],
  rolloutStartedAt: new Map(),
  gatewayCount: 1,
  evacuatedZones: new Set(),
};

const resolveOrders = (
  known: KnownOrders,
  { update, revision, rolloutAges = [] }: RoutingAnswer,
  { now, gatewayCount }: { readonly now: number; readonly gatewayCount: number },
): KnownOrders => {
  const { rollouts, retired } = update ?? known;
  const evacuatedZones = update ? new Set(update.evacuatedZones) : known.evacuatedZones;
  const times = { rollouts, ages: rolloutAges, known: known.rolloutStartedAt, now };
  const rolloutStartedAt = resolveStartTimes(times);
  return { revision, rollouts, retired, rolloutStartedAt, gatewayCount, evacuatedZones };
};

interface HostOrder {
  readonly hosts: readonly string[];
  readonly preferredHost: string;
  readonly nextIndex: number;
}

// Begins with the leader; the others follow in turn, so that failures spread over all hosts.
const listHostsToAsk = ({ hosts, preferredHost, nextIndex }: HostOrder): readonly string[] => {
  const start = nextIndex % hosts.length;
  const others = [...hosts.slice(start), ...hosts.slice(0, start)];
  if (!hosts.includes(preferredHost)) return others;
  return [preferredHost, ...others.filter((host) => host !== preferredHost)];
};

/** Creates a routing view. It sends no calls before `start`. */
export const createRoutingView = (options: RoutingViewOptions): RoutingView => {
  const { leaseMs, clock, log, rpc } = options;
  const watch = createRoutingWatch(options);
  let hosts: readonly string[] = options.controlHosts;
  let preferredHost = '';
  let nextHostIndex = Math.floor(Math.random() * Math.max(1, hosts.length));
  let orders = NO_ORDERS;
  /** The configuration in force by the latest answer. */
  let configId: ConfigId | null = null;
  let snapshot: RoutingSnapshot | undefined;
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
    const { revision } = orders;
    if (isHeld) log.info({ revision, hosts }, 'lease acquired');
    else log.warn({ revision, ageMs: Math.round(readAgeMs()) }, 'lease expired; refusing work');
  };

  const handleConfirmed = (held: HeldConfig | undefined, named: NamedConfig): void => {
    const isSame = held !== undefined && snapshot?.table.config === held.config;
    const table = isSame ? snapshot?.table : held && createRouteTable(held.config);
    snapshot = table && { ...orders, revision: named.revision, table };
    confirmedAt = named.askedAt;
    logLease();
    if (snapshot) snapshotNotifier.notify();
  };

  const follower = createConfigFollower({
    configFetch: createConfigFetch({ rpc, log }),
    log,
    handleConfirmed,
  });

  const applyUpdate = (update: RoutingUpdate, revision: number): void => {
    const { config, configId: named, rollouts } = update;
    logEvacuated(log, orders, { evacuatedZones: new Set(update.evacuatedZones), revision });
    configId = named ?? null;
    if (config) {
      configId = { version: config.version, digest: '' };
      const isHeld = snapshot?.table.config.version === config.version;
      if (!isHeld) follower.install({ id: configId, config });
    }
    const version = configId?.version ?? 0;
    log.info({ before: orders.revision, revision, version, rollouts }, 'routing updated');
  };

  const applyAnswer = (host: string, answer: RoutingAnswer, askedAt: ClockReading): void => {
    hosts = mergeAddresses([answer.controlHosts, options.controlHosts]);
    // A host that lags behind may return an older revision than the one in use.
    const { revision, update } = answer;
    if (revision < orders.revision) return;
    const now = clock.readClocks().monotonicMs;
    countSamples = resolveGatewayCount(countSamples, {
      count: answer.gatewayCount,
      isFromLeader: host === answer.leader,
      now,
    });
    if (update) applyUpdate(update, revision);
    const gatewayCount = Math.max(...countSamples.map(({ count }) => count));
    orders = resolveOrders(orders, answer, { now, gatewayCount });
    if (snapshot) snapshot = { ...orders, revision: snapshot.revision, table: snapshot.table };
    const others = hosts.filter((other) => other !== host);
    follower.recordNamed({ id: configId, revision, askedAt, hosts: [host, ...others] });
    logLease();
  };

  const renewLease = async (): Promise<void> => {
    const hostsToAsk = listHostsToAsk({ hosts, preferredHost, nextIndex: nextHostIndex });
    const rolloutAges = listRolloutAges(orders, clock.readClocks().monotonicMs);
    const fetched = await watch.fetch(hostsToAsk, {
      revision: orders.revision,
      rolloutAges,
    });
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
      follower.stop();
    },
  };
};
