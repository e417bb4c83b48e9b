import { randomUUID } from 'node:crypto';
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
import type { LeaseClock, ClockReading } from './leaseClock';

/** What a gateway knows of the routing state. */
export interface RoutingSnapshot {
  readonly revision: number;
  readonly table: RouteTable;
  readonly rollouts: readonly ServiceRollout[];
  readonly retired: readonly RetiredVersion[];
  /** Steady time in milliseconds at which each roll-out was first seen, by service and target. */
  readonly rolloutSeenAt: ReadonlyMap<string, number>;
  /** Gateways that share the endpoints, this one included. */
  readonly gatewayCount: number;
}

/** Follows the routing state at the control hosts under a lease. */
export interface RoutingView {
  /** Gives the facts while the lease holds. */
  readonly read: () => RoutingSnapshot | undefined;
  /** Waits until the facts are there, at most so many milliseconds. */
  readonly waitForSnapshot: (timeoutMs: number) => Promise<RoutingSnapshot | undefined>;
  /** Milliseconds since the newest confirmed answer was asked for; infinite before the first. */
  readonly readAgeMs: () => number;
  /** Internal addresses of all control hosts known. */
  readonly listControlHosts: () => readonly string[];
  /** Internal address of the leading control host, if one is known. */
  readonly findLeader: () => string | undefined;
  readonly start: () => void;
  readonly stop: () => void;
}

/** Parts of a routing view. */
export interface RoutingViewOptions {
  readonly gateway: string;
  readonly controlHosts: readonly string[];
  /** How long a confirmed answer may be acted upon, in milliseconds. */
  readonly leaseMs: number;
  readonly rpc: Pick<RpcClient, 'call'>;
  readonly clock: LeaseClock;
  readonly log: Logger;
  readonly listTallies: () => readonly VersionTally[];
}

/** A watch waits this long for news; the lease is renewed as often. */
const WATCH_WAIT_MS = 400;
/** Time beyond the wait after which a control host counts as silent. */
const WATCH_GRACE_MS = 600;
const RETRY_PAUSE_MS = 50;
/** News of a change arrives in bursts; a pause between two watches bounds their number. */
const WATCH_PAUSE_MS = 20;

const mergeAddresses = (lists: readonly (readonly string[])[]): readonly string[] => [
  ...new Set(lists.flat()),
];

/** Formats the name under which a roll-out is remembered. */
export const formatRolloutKey = ({ service, target }: Pick<ServiceRollout, 'service' | 'target'>) =>
  `${service}|${target}`;

/** Creates the view; nothing is asked before `start`. */
export const createRoutingView = (options: RoutingViewOptions): RoutingView => {
  const { gateway, leaseMs, rpc, clock, log } = options;
  const bootId = randomUUID();
  let hosts: readonly string[] = options.controlHosts;
  let preferredHost = '';
  let nextHostIndex = Math.floor(Math.random() * Math.max(1, hosts.length));
  let facts: RoutingSnapshot | undefined;
  let revision = -1;
  let confirmedAt: ClockReading | undefined;
  const snapshotNotifier = createChangeNotifier();
  let wasLeased = false;
  let isStopped = false;

  const readAgeMs = (): number => (confirmedAt ? clock.computeElapsedMs(confirmedAt) : Infinity);

  const isLeased = (): boolean => readAgeMs() < leaseMs;

  const logLease = (): void => {
    const holds = isLeased();
    if (holds === wasLeased) return;
    wasLeased = holds;
    if (holds) log.info({ revision, hosts }, 'lease held');
    else log.warn({ revision, ageMs: Math.round(readAgeMs()) }, 'lease lost, new work is refused');
  };

  const resolveFirstSeen = (rollouts: readonly ServiceRollout[]): ReadonlyMap<string, number> => {
    const now = clock.readClocks().monotonicMs;
    const known = facts?.rolloutSeenAt;
    return new Map(
      rollouts.map((rollout) => {
        const name = formatRolloutKey(rollout);
        return [name, known?.get(name) ?? now] as const;
      }),
    );
  };

  const listRolloutAges = (now: number): readonly RolloutAge[] =>
    (facts?.rollouts ?? []).map(({ service, target }) => {
      const seenAt = facts?.rolloutSeenAt.get(formatRolloutKey({ service, target })) ?? now;
      return { service, target, ageMs: Math.max(0, now - seenAt) };
    });

  const applyAnswer = (answer: RoutingAnswer, askedAt: ClockReading): void => {
    hosts = mergeAddresses([answer.controlHosts, options.controlHosts]);
    // A host that lags may answer with less than this process has already acted upon.
    if (answer.revision < revision) return;
    const { update, gatewayCount } = answer;
    if (update) {
      const before = revision;
      revision = answer.revision;
      const { config, rollouts, retired } = update;
      facts = config
        ? {
            revision,
            table:
              facts?.table.config.version === config.version
                ? facts.table
                : createRouteTable(config),
            rollouts,
            retired,
            rolloutSeenAt: resolveFirstSeen(rollouts),
            gatewayCount: Math.max(1, gatewayCount),
          }
        : undefined;
      log.info({ before, revision, version: config?.version ?? 0, rollouts }, 'routing in force');
    } else if (facts) {
      facts = { ...facts, gatewayCount: Math.max(1, gatewayCount) };
    }
    confirmedAt = askedAt;
    logLease();
    if (facts) snapshotNotifier.notify();
  };

  const chooseHost = (): string => {
    if (hosts.includes(preferredHost)) return preferredHost;
    return hosts[nextHostIndex % hosts.length]!;
  };

  const renewLease = async (): Promise<void> => {
    const host = chooseHost();
    const askedAt = clock.readClocks();
    const params = {
      gateway,
      bootId,
      revision,
      waitMs: WATCH_WAIT_MS,
      tallies: options.listTallies(),
      rolloutAges: listRolloutAges(askedAt.monotonicMs),
    };
    const timeoutMs = WATCH_WAIT_MS + WATCH_GRACE_MS;
    const answer = await rpc.call<RoutingAnswer>(host, 'routing.watch', params, { timeoutMs });
    if (isStopped) return;
    answer.ifRight((value) => {
      preferredHost = value.leader === '' ? host : value.leader;
      applyAnswer(value, askedAt);
    });
    answer.ifLeft((error) => {
      preferredHost = '';
      nextHostIndex += 1;
      log.debug({ peer: host, err: error.message }, 'watch failed');
      logLease();
    });
    await sleep(answer.isRight() ? WATCH_PAUSE_MS : RETRY_PAUSE_MS);
  };

  const run = async (): Promise<void> => {
    while (!isStopped) await renewLease();
  };

  const readSnapshot = (): RoutingSnapshot | undefined => (isLeased() ? facts : undefined);

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
        log.fatal({ err: error }, 'the watch of the routing state ended');
      });
    },
    stop: () => {
      isStopped = true;
    },
  };
};
