import { setTimeout as sleep } from 'node:timers/promises';
import { isCanarySession } from '../decisions';
import { convertToRouterError } from '../errors';
import type { Logger } from '../log';
import type { ServiceRollout } from '../routing';
import type { BindSessionsAnswer, BoundSession } from '../routingControl';
import type { RpcClient } from '../rpc';
import { computeExchangeInterval } from './loadExchange';
import type { RegistryView } from './registryView';
import { formatRolloutKey, type RoutingSnapshot } from './routingView';
import type { SessionVersions } from './sessionVersions';

/**
 * Shares the versions of sessions with the other gateways in the canary stage of a roll-out,
 * through the leading control host. Only canary sessions are shared: all others stay on the previous
 * version without it.
 */
export interface SessionExchange {
  /**
   * Binds a session that this gateway does not know, if another gateway may have served it. Resolves
   * once the session's version is in the table or cannot be determined.
   */
  readonly bindUnknown: (
    snapshot: RoutingSnapshot,
    service: string,
    session: string,
  ) => Promise<void>;
  readonly start: () => void;
  readonly stop: () => void;
}

/** Options of a session exchange. */
export interface SessionExchangeOptions {
  readonly gateway: string;
  readonly sessionMs: number;
  readonly exposureShare: number;
  readonly rpc: Pick<RpcClient, 'call'>;
  readonly log: Logger;
  readonly sessions: SessionVersions;
  readonly registry: Pick<RegistryView, 'listEndpoints'>;
  /** Returns the monotonic time in milliseconds. */
  readonly readNow: () => number;
  readonly readSnapshot: () => RoutingSnapshot | undefined;
  /** Returns the address of the control host that all gateways report to, if known. */
  readonly findControlHost: () => string | undefined;
}

/** A request waits at most this long for its session's version, in milliseconds. */
const CLAIM_TIMEOUT_MS = 200;
const REPORT_TIMEOUT_MS = 400;

const findCanary = (
  snapshot: RoutingSnapshot | undefined,
  service: string,
): ServiceRollout | undefined =>
  snapshot?.rollouts.find((item) => item.service === service && item.stage === 'canary');

const formatCanaries = (snapshot: RoutingSnapshot | undefined): string =>
  (snapshot?.rollouts ?? [])
    .filter(({ stage }) => stage === 'canary')
    .map(formatRolloutKey)
    .join(',');

/** Creates a session exchange. It sends no reports before `start`. */
export const createSessionExchange = (options: SessionExchangeOptions): SessionExchange => {
  const { gateway, sessionMs, exposureShare, rpc, log, sessions, registry } = options;
  const { readNow, readSnapshot, findControlHost } = options;
  /** Id of the directory that has this gateway's sessions, and the roll-outs that it has them for. */
  let directory = '';
  let reportedCanaries = '';
  let reportedAt = -Infinity;
  let isStopped = false;

  const callDirectory = (
    host: string,
    recorded: readonly BoundSession[],
    claimed: readonly BoundSession[],
    timeoutMs: number,
  ) => {
    const params = { gateway, sessionMs, recorded, claimed };
    return rpc.call<BindSessionsAnswer>(host, 'session.bind', params, { timeoutMs });
  };

  const isPreviousVersion = (
    snapshot: RoutingSnapshot,
    { service, target }: ServiceRollout,
    version: string,
  ): boolean =>
    version !== target &&
    !snapshot.retired.some((item) => item.service === service && item.version === version);

  const findPreviousVersion = (
    snapshot: RoutingSnapshot,
    rollout: ServiceRollout,
  ): string | undefined =>
    registry
      .listEndpoints(rollout.service)
      .filter(({ isReady }) => isReady)
      .map(({ report }) => report.version)
      .find((version) => isPreviousVersion(snapshot, rollout, version));

  const canPredate = (snapshot: RoutingSnapshot, rollout: ServiceRollout): boolean =>
    readNow() - (snapshot.rolloutStartedAt.get(formatRolloutKey(rollout)) ?? readNow()) < sessionMs;

  const claim = async (session: BoundSession, previous: string): Promise<string> => {
    const host = findControlHost();
    if (host === undefined) return previous;
    const answer = await callDirectory(host, [], [session], CLAIM_TIMEOUT_MS);
    answer.ifLeft((error) =>
      log.warn(
        { ...session, peer: host, err: error.message, fallback: previous },
        'version of a session could not be looked up; using the previous version',
      ),
    );
    // Without an answer the session may be an older one, which must stay on the previous version.
    return answer.map(({ bound }) => bound[0]?.version ?? previous).orDefault(previous);
  };

  const bindUnknown: SessionExchange['bindUnknown'] = async (snapshot, service, session) => {
    const rollout = findCanary(snapshot, service);
    if (!rollout || !isCanarySession(rollout, session, exposureShare)) return;
    if (sessions.find(service, session, readNow())) return;
    const previous = findPreviousVersion(snapshot, rollout);
    if (previous === undefined) return;
    const wanted = canPredate(snapshot, rollout) ? previous : rollout.target;
    const version = await claim({ service, session, version: wanted }, previous);
    // Another request of the session may have been sent in the meantime.
    if (sessions.find(service, session, readNow())) return;
    sessions.record({ service, session, version }, readNow());
    log.info({ service, session, wanted, version }, 'session bound to a version');
  };

  const listShared = (snapshot: RoutingSnapshot, since: number): readonly BoundSession[] =>
    sessions.listRecent(since).flatMap(({ service, session, version }) => {
      const rollout = findCanary(snapshot, service);
      const isShared = rollout && isCanarySession(rollout, session, exposureShare);
      return isShared ? [{ service, session, version }] : [];
    });

  const sendReport = async (): Promise<void> => {
    const snapshot = readSnapshot();
    const canaries = formatCanaries(snapshot);
    const host = findControlHost();
    if (!snapshot || canaries === '' || host === undefined) return;
    const since = canaries === reportedCanaries ? reportedAt : -Infinity;
    const now = readNow();
    const answer = await callDirectory(host, listShared(snapshot, since), [], REPORT_TIMEOUT_MS);
    answer.ifRight((value) => {
      // A directory that has not had all sessions yet gets them with the next report.
      const isSame = value.directory === directory;
      if (!isSame)
        log.info({ peer: host, directory: value.directory }, 'session directory changed');
      directory = value.directory;
      reportedCanaries = isSame || since === -Infinity ? canaries : '';
      reportedAt = now;
    });
    answer.ifLeft((error) =>
      log.debug(
        { peer: host, err: error.message },
        'report of sessions failed; they will be sent again',
      ),
    );
  };

  const run = async (): Promise<void> => {
    while (!isStopped) {
      await sendReport();
      await sleep(computeExchangeInterval(readSnapshot()?.gatewayCount ?? 1));
    }
  };

  return {
    bindUnknown,
    start: () => {
      run().catch((cause: unknown) => {
        const error = convertToRouterError(cause, 'gateway.sessions');
        log.error({ err: error }, 'reports of sessions stopped after an unexpected error');
      });
    },
    stop: () => {
      isStopped = true;
    },
  };
};
