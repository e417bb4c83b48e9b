import { isCanarySession } from '../decisions';
import type { Logger } from '../log';
import type { ServiceRollout } from '../routing';
import type { BindSessionsAnswer, BoundSession } from '../routingControl';
import type { RpcClient } from '../rpc';
import type { ExchangeTopic } from './peerExchange';
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
  /** Reports the canary sessions of this gateway. */
  readonly topic: ExchangeTopic<'sessions'>;
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

/** Creates a session exchange. */
export const createSessionExchange = (options: SessionExchangeOptions): SessionExchange => {
  const { gateway, sessionMs, exposureShare, rpc, log, sessions, registry } = options;
  const { readNow, readSnapshot, findControlHost } = options;
  /** Id of the directory that has this gateway's sessions, and the roll-outs that it has them for. */
  let directory = '';
  let reportedCanaries = '';
  let reportedAt = -Infinity;

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
    const params = { gateway, sessionMs, recorded: [], claimed: [session] };
    const answer = await rpc.call<BindSessionsAnswer>(host, 'session.bind', params, {
      timeoutMs: CLAIM_TIMEOUT_MS,
    });
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

  const createReport: ExchangeTopic<'sessions'>['createReport'] = (host) => {
    const snapshot = readSnapshot();
    const canaries = formatCanaries(snapshot);
    if (!snapshot || canaries === '') return undefined;
    const since = canaries === reportedCanaries ? reportedAt : -Infinity;
    const now = readNow();
    return {
      report: { sessionMs, recorded: listShared(snapshot, since), claimed: [] },
      applyAnswer: (answer) => {
        // A directory that has not had all sessions yet gets them with the next report.
        const isSame = answer.directory === directory;
        if (!isSame)
          log.info({ peer: host, directory: answer.directory }, 'session directory changed');
        directory = answer.directory;
        reportedCanaries = isSame || since === -Infinity ? canaries : '';
        reportedAt = now;
      },
      // The sessions since the last report that was answered are sent again.
      handleFailure: () => {},
    };
  };

  return { bindUnknown, topic: { name: 'sessions', createReport } };
};
