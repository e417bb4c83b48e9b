import { randomUUID } from 'node:crypto';
import type { Logger } from '../log';
import type {
  RolloutAge,
  RoutingAnswer,
  VersionTally,
  WatchRoutingParams,
} from '../routingControl';
import type { RpcClient } from '../rpc';
import { callWithHedges, type HedgedAnswer } from './hedgedCall';
import type { ClockReading, LeaseClock } from './leaseClock';

/** An answer of a control host, confirmed by a quorum. */
export interface ConfirmedAnswer {
  readonly answer: RoutingAnswer;
  /** When the call was sent; the lease counts from here. */
  readonly askedAt: ClockReading;
}

/** What a gateway knows when it asks for changes. */
export interface KnownRouting {
  readonly revision: number;
  readonly rolloutAges: readonly RolloutAge[];
}

/** Asks control hosts for changes of the routing state. */
export interface RoutingWatch {
  /** Waits for a change at the first host, and asks the others in order while it stays silent. */
  readonly fetch: (
    hosts: readonly string[],
    known: KnownRouting,
  ) => Promise<HedgedAnswer<ConfirmedAnswer>>;
}

/** Options of a routing watch. */
export interface RoutingWatchOptions {
  readonly gateway: string;
  readonly rpc: Pick<RpcClient, 'call'>;
  readonly clock: LeaseClock;
  readonly log: Logger;
  readonly listTallies: () => readonly VersionTally[];
}

/** How long a watch call waits for a change; also the interval at which the lease is renewed. */
const WATCH_WAIT_MS = 400;
/** Time beyond the wait after which the watch call times out. */
const WATCH_GRACE_MS = 600;
/**
 * Time beyond the wait after which another control host is asked as well. A confirmed read takes a
 * few network round trips, so most watches end earlier.
 */
const FIRST_HEDGE_GRACE_MS = 150;
/** Time after which one more control host is asked. Hedges do not wait for a change. */
const NEXT_HEDGE_DELAY_MS = 150;

/** Creates a watch. It sends no calls by itself. */
export const createRoutingWatch = (options: RoutingWatchOptions): RoutingWatch => {
  const { gateway, rpc, clock, log } = options;
  const bootId = randomUUID();
  /** Control hosts of an earlier release, whose answers hold the whole configuration. */
  const earlierHosts = new Set<string>();
  return {
    fetch: (hosts, { revision, rolloutAges }) =>
      callWithHedges({
        hosts,
        firstDelayMs: WATCH_WAIT_MS + FIRST_HEDGE_GRACE_MS,
        nextDelayMs: NEXT_HEDGE_DELAY_MS,
        call: async (host, { signal, isHedge }) => {
          const askedAt = clock.readClocks();
          const waitMs = isHedge ? 0 : WATCH_WAIT_MS;
          const params: WatchRoutingParams = {
            gateway,
            bootId,
            revision,
            waitMs,
            tallies: [...options.listTallies()],
            rolloutAges: [...rolloutAges],
            ...(!earlierHosts.has(host) && { fetchesConfig: true }),
          };
          const callOptions = { timeoutMs: waitMs + WATCH_GRACE_MS, signal };
          const answer = await rpc.call<RoutingAnswer>(host, 'routing.watch', params, callOptions);
          // A host that does not answer may be restarted with a later release.
          answer.ifLeft(({ type }) => {
            if (type === 'invalid_request') earlierHosts.add(host);
            else earlierHosts.delete(host);
          });
          const isStillNeeded = !signal.aborted;
          if (isStillNeeded) {
            answer.ifLeft((error) =>
              log.debug(
                { peer: host, isHedge, err: error.message },
                'watch of the routing state failed',
              ),
            );
          }
          return answer.map((value) => ({ answer: value, askedAt }));
        },
      }),
  };
};
