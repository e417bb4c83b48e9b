import { randomUUID } from 'node:crypto';
import type { Logger } from '../log';
import type { EndpointReport, Registry, ReportOutcome } from '../registry';
import type { RpcClient } from '../rpc';
import type {
  PeerLeaveAnswer,
  PeerLeaveParams,
  RegistryAnswer,
  WatchRegistryParams,
} from './protocol';
import { createChangeNotifier } from './changeNotifier';

/** Options of a registry handler. */
export interface RegistryHandlerOptions {
  readonly registry: Registry;
  readonly rpc: Pick<RpcClient, 'call'>;
  readonly log: Logger;
  /** Internal addresses of the other control hosts. */
  readonly listPeers: () => readonly string[];
  /** Returns milliseconds on a monotonic clock. */
  readonly readNow: () => number;
  /** Returns the Unix time in milliseconds. */
  readonly readWallClock: () => number;
}

/** What became of a report; `implausible` if it cannot be an endpoint's. */
export type HandledReport = ReportOutcome | 'implausible';

/**
 * What became of a leave: `left` if a control host that knew the endpoint has recorded it, `unknown`
 * if no control host knows the endpoint, `unconfirmed` if one that may know it did not answer.
 */
export type HandledLeave = 'left' | 'unknown' | 'unconfirmed';

/**
 * Handles endpoint reports: updates the registry, forwards changes to other control hosts, notifies
 * gateways.
 */
export interface RegistryHandler {
  /**
   * Applies a report. Resolves once another control host has received the change, or after 300 ms.
   */
  readonly handleReport: (report: EndpointReport) => Promise<HandledReport>;
  /** Marks an endpoint as left, here or at the control hosts that know it. */
  readonly handleLeave: (id: string, startedAt: number | undefined) => Promise<HandledLeave>;
  /** Marks an endpoint as left for another control host that does not know it. */
  readonly handlePeerLeave: (leave: PeerLeaveParams) => PeerLeaveAnswer;
  /** Applies a change received from another control host. */
  readonly handlePeerReport: (report: EndpointReport, hasLeft: boolean) => void;
  readonly watch: (params: WatchRegistryParams) => Promise<RegistryAnswer>;
  readonly start: () => void;
  readonly stop: () => void;
}

/** A report is acknowledged after this time even if no other control host has answered. */
const PEER_TIMEOUT_MS = 300;
const EXPIRE_INTERVAL_MS = 500;
/**
 * Largest difference between the clocks of hosts, in milliseconds. An incarnation that starts later
 * than that would replace every other one at its address, for good.
 */
const MAX_CLOCK_SKEW_MS = 24 * 3_600_000;

/**
 * Records in one answer. Many more would take longer than the call on a slow link, to which all
 * control hosts answer at the same time.
 */
const MAX_RECORDS = 100;

/** Creates the registry handler of one control host. */
export const createRegistryHandler = (options: RegistryHandlerOptions): RegistryHandler => {
  const { registry, rpc, log, listPeers, readNow, readWallClock } = options;
  const bootId = randomUUID();
  const notifier = createChangeNotifier();
  let timer: NodeJS.Timeout | undefined;

  const logChange = (report: EndpointReport, outcome: string): void => {
    const { id, startedAt, sequence, service, address, version, state } = report;
    log.info(
      { endpoint: id, startedAt, sequence, service, address, version, state, outcome },
      'endpoint changed',
    );
  };

  const callPeer = async (peer: string, report: EndpointReport, hasLeft: boolean) => {
    const params = { report, hasLeft };
    const answer = await rpc.call(peer, 'registry.share', params, { timeoutMs: PEER_TIMEOUT_MS });
    answer.ifLeft((error) =>
      log.debug({ peer, err: error }, 'endpoint change not accepted by control host'),
    );
    if (answer.isLeft()) throw answer.extract();
  };

  // One other host is enough: if this host fails now, the other one still notifies the gateways.
  const sendChange = async (report: EndpointReport, hasLeft: boolean): Promise<void> => {
    const peers = listPeers();
    if (peers.length === 0) return;
    await Promise.any(peers.map((peer) => callPeer(peer, report, hasLeft))).catch(() => {
      log.warn(
        { endpoint: report.id, peers },
        'endpoint change not accepted by any other control host',
      );
    });
  };

  const handleChange = (report: EndpointReport, outcome: string): void => {
    notifier.notify();
    logChange(report, outcome);
  };

  const applyLeave = (id: string, startedAt: number | undefined): EndpointReport | undefined => {
    const wasKnown = registry.applyLeave(id, startedAt, readNow());
    const report = wasKnown ? registry.find(id)?.report : undefined;
    if (report) handleChange(report, 'left');
    return report;
  };

  // A host that has started after the endpoint's last change knows it only from its next report.
  const callPeersToLeave = async (params: PeerLeaveParams): Promise<HandledLeave> => {
    const timeout = { timeoutMs: PEER_TIMEOUT_MS };
    const answers = await Promise.all(
      listPeers().map((peer) => rpc.call(peer, 'registry.leave', params, timeout)),
    );
    const isKnownToPeer = answers.some((answer) =>
      answer.map((value) => (value as PeerLeaveAnswer).wasKnown).orDefault(false),
    );
    if (isKnownToPeer) return 'left';
    return answers.every((answer) => answer.isRight()) ? 'unknown' : 'unconfirmed';
  };

  return {
    handleReport: async (report) => {
      if (report.startedAt > readWallClock() + MAX_CLOCK_SKEW_MS) return 'implausible';
      const outcome = registry.applyReport(report, readNow());
      if (outcome === 'added' || outcome === 'changed') {
        handleChange(report, outcome);
        await sendChange(report, false);
      }
      return outcome;
    },
    handleLeave: async (id, startedAt) => {
      const report = applyLeave(id, startedAt);
      if (report) {
        await sendChange(report, true);
        return 'left';
      }
      const outcome = await callPeersToLeave({ id, ...(startedAt !== undefined && { startedAt }) });
      log.info(
        { endpoint: id, startedAt, outcome },
        'leave of an endpoint that this host does not know',
      );
      return outcome;
    },
    handlePeerLeave: ({ id, startedAt }) => ({ wasKnown: applyLeave(id, startedAt) !== undefined }),
    handlePeerReport: (report, hasLeft) => {
      const now = readNow();
      const outcome = registry.applyReport(report, now);
      const isChange = outcome === 'added' || outcome === 'changed';
      if (hasLeft) registry.applyLeave(report.id, report.startedAt, now);
      if (isChange || hasLeft) notifier.notify();
    },
    watch: async ({ bootId: known, revision, waitMs, followed = [] }) => {
      registry.follow(followed, readNow());
      const isSame = known === bootId;
      if (isSame && registry.revision() <= revision) await notifier.wait(waitMs);
      const changes = registry.readChanges(isSame ? revision : -1, MAX_RECORDS);
      return { bootId, isWhole: !isSame, ...changes };
    },
    start: () => {
      timer = setInterval(() => {
        const expired = registry.expire(readNow());
        if (expired.length === 0) return;
        log.info({ endpoints: expired }, 'reports of endpoints are missing');
        notifier.notify();
      }, EXPIRE_INTERVAL_MS);
    },
    stop: () => clearInterval(timer),
  };
};
