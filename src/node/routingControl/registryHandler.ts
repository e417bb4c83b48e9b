import { randomUUID } from 'node:crypto';
import type { Logger } from '../log';
import type { EndpointReport, Registry, ReportOutcome } from '../registry';
import type { RpcClient } from '../rpc';
import type { RegistryAnswer, WatchRegistryParams } from './protocol';
import { createChangeNotifier } from './changeNotifier';

/** Parts of a registry desk. */
export interface RegistryHandlerOptions {
  readonly registry: Registry;
  readonly rpc: Pick<RpcClient, 'call'>;
  readonly log: Logger;
  /** Internal addresses of the other control hosts. */
  readonly listPeers: () => readonly string[];
  /** Gives milliseconds on a steady clock. */
  readonly readNow: () => number;
}

/** Takes endpoints' reports, shares their news with the other control hosts and tells gateways. */
export interface RegistryHandler {
  /** Takes a report; resolves when another control host knows its news too, or after a moment. */
  readonly handleReport: (report: EndpointReport) => Promise<ReportOutcome>;
  /** Takes a leave; false when the endpoint is not known here. */
  readonly handleLeave: (id: string, startedAt: number | undefined) => Promise<boolean>;
  /** Takes news from another control host. */
  readonly handlePeerReport: (report: EndpointReport, hasLeft: boolean) => void;
  readonly watch: (params: WatchRegistryParams) => Promise<RegistryAnswer>;
  readonly start: () => void;
  readonly stop: () => void;
}

/** A report is acknowledged within this time even when no other control host answers. */
const PEER_TIMEOUT_MS = 300;
const EXPIRE_INTERVAL_MS = 500;

/** Creates the desk of one control host. */
export const createRegistryHandler = (options: RegistryHandlerOptions): RegistryHandler => {
  const { registry, rpc, log, listPeers, readNow } = options;
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
    answer.ifLeft((error) => log.debug({ peer, err: error }, 'news not shared'));
    if (answer.isLeft()) throw answer.extract();
  };

  // One other host is enough: should this one die now, the other still tells the gateways.
  const sendChange = async (report: EndpointReport, hasLeft: boolean): Promise<void> => {
    const peers = listPeers();
    if (peers.length === 0) return;
    await Promise.any(peers.map((peer) => callPeer(peer, report, hasLeft))).catch(() => {
      log.warn({ endpoint: report.id, peers }, 'no other control host took the news');
    });
  };

  const handleChange = (report: EndpointReport, outcome: string): void => {
    notifier.notify();
    logChange(report, outcome);
  };

  return {
    handleReport: async (report) => {
      const outcome = registry.applyReport(report, readNow());
      if (outcome === 'added' || outcome === 'changed') {
        handleChange(report, outcome);
        await sendChange(report, false);
      }
      return outcome;
    },
    handleLeave: async (id, startedAt) => {
      const wasKnown = registry.applyLeave(id, startedAt, readNow());
      const record = registry.find(id);
      if (wasKnown && record) {
        handleChange(record.report, 'left');
        await sendChange(record.report, true);
      }
      return wasKnown;
    },
    handlePeerReport: (report, hasLeft) => {
      const now = readNow();
      const outcome = registry.applyReport(report, now);
      const isChange = outcome === 'added' || outcome === 'changed';
      if (hasLeft) registry.applyLeave(report.id, report.startedAt, now);
      if (isChange || hasLeft) notifier.notify();
    },
    watch: async ({ bootId: known, revision, waitMs }) => {
      const isSame = known === bootId;
      if (isSame && registry.revision() <= revision) await notifier.wait(waitMs);
      const records = isSame ? registry.listSince(revision) : registry.list();
      return { bootId, revision: registry.revision(), isWhole: !isSame, records };
    },
    start: () => {
      timer = setInterval(() => {
        const expired = registry.expire(readNow());
        if (expired.length === 0) return;
        log.info({ endpoints: expired }, 'endpoints have fallen silent');
        notifier.notify();
      }, EXPIRE_INTERVAL_MS);
    },
    stop: () => clearInterval(timer),
  };
};
