import type { Logger } from '../log';
import type { SuspectKind } from '../decisions';
import {
  decodeSuspect,
  encodeSuspectName,
  type ClaimProbeAnswer,
  type ClaimProbeParams,
} from '../routingControl';
import type { RpcClient } from '../rpc';
import type { RequestQuarantine, QuarantineHold, ServiceRequest } from './requestQuarantine';

/** Whether a request may be sent to an endpoint, and why not. */
export type GuardVerdict =
  | { readonly type: 'free' }
  | { readonly type: 'probe' }
  | { readonly type: 'refused'; readonly reason: string; readonly retryAfterMs: number };

/** Refuses quarantined requests and prompt blocks, but for one probe at a time. */
export interface RequestGuard {
  /** Checks a request before it is sent; `canProbe` is false if it may have run already. */
  readonly check: (
    request: ServiceRequest,
    requestId: string,
    canProbe: boolean,
  ) => Promise<GuardVerdict>;
}

/** Options of a request guard. */
export interface RequestGuardOptions {
  readonly quarantine: Pick<RequestQuarantine, 'listHolds' | 'applyPeerSuspects'>;
  readonly rpc: Pick<RpcClient, 'call'>;
  readonly log: Logger;
  /** Returns the monotonic time in milliseconds. */
  readonly readNow: () => number;
  /** Returns the address of the control host that all gateways report to, if known. */
  readonly findControlHost: () => string | undefined;
}

/** A request that may become a probe waits at most this long for the answer, in milliseconds. */
const CLAIM_TIMEOUT_MS = 200;
/** Shortest retry delay of a refused request, in milliseconds. */
const MIN_RETRY_MS = 1_000;

const SUSPECT_NAMES: Readonly<Record<SuspectKind, string>> = {
  shared_block: 'prompt block',
  own_block: 'prompt block',
  request: 'request with fingerprint',
};

const createRefusal = ({ kind, id, level, losses, waitMs }: QuarantineHold): GuardVerdict => ({
  type: 'refused',
  reason: `${SUSPECT_NAMES[kind]} '${id}' is quarantined (level ${level}) after the loss of ${losses} endpoints; next probe in ${Math.round(waitMs)} ms`,
  retryAfterMs: Math.max(MIN_RETRY_MS, waitMs),
});

/** Creates a request guard. */
export const createRequestGuard = (options: RequestGuardOptions): RequestGuard => {
  const { quarantine, rpc, log, readNow, findControlHost } = options;

  const claimProbe = async (hold: QuarantineHold, request: string): Promise<boolean> => {
    const host = findControlHost();
    if (host === undefined) return false;
    const { service, kind, id, level } = hold;
    const params: ClaimProbeParams = { ...encodeSuspectName(hold), level };
    const facts = { request, service, kind, id, level };
    const answer = await rpc.call<ClaimProbeAnswer>(host, 'suspect.probe', params, {
      timeoutMs: CLAIM_TIMEOUT_MS,
    });
    answer.ifLeft((error) =>
      log.warn(
        { ...facts, peer: host, err: error.message },
        'probe of a quarantined request could not be claimed',
      ),
    );
    const { isGranted, suspect } = answer.orDefault({ isGranted: false });
    if (suspect) quarantine.applyPeerSuspects([decodeSuspect(suspect, readNow())]);
    log.info({ ...facts, isGranted }, 'probe of a quarantined request claimed');
    return isGranted;
  };

  return {
    check: async (request, requestId, canProbe) => {
      const holds = quarantine.listHolds(request);
      const longest = holds.reduce<QuarantineHold | undefined>(
        (known, hold) => (known && known.waitMs >= hold.waitMs ? known : hold),
        undefined,
      );
      if (!longest) return { type: 'free' };
      if (longest.waitMs > 0 || !canProbe) return createRefusal(longest);
      // The loss of a quarantined request would say nothing about a block that it shares with sound
      // ones, and that of a later block nothing about an earlier one. So it is a probe of the last
      // suspect alone; its answer lifts all.
      const isRequestHeld = holds.some(({ kind }) => kind === 'request');
      const lastShared = holds.findLast(({ kind }) => kind === 'shared_block');
      const tested = holds.filter(
        (hold) => hold.kind !== 'shared_block' || (!isRequestHeld && hold === lastShared),
      );
      for (const hold of tested) {
        if (!(await claimProbe(hold, requestId))) return createRefusal(hold);
      }
      return { type: 'probe' };
    },
  };
};
