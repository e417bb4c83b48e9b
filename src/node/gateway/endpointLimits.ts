import {
  computeGrant,
  computeRefill,
  computeWantedTokens,
  resolveSentRate,
  TOKEN_LIFETIME_MS,
  type TokenBucket,
} from '../decisions';
import type { Logger } from '../log';
import { formatIncarnation, type EndpointReport } from '../registry';
import {
  LIMIT_MEMORY_MS,
  MAX_REPORTED_LIMITS,
  type LimitReport,
  type SharedLimit,
} from '../routingControl';

/** A response of an endpoint, as far as it concerns its limit. */
export interface LimitObservation {
  readonly endpoint: EndpointReport;
  readonly request: string;
  /** Limit that the response names; undefined if it names none. */
  readonly requestsPerSecond: number | undefined;
  /** Monotonic time in milliseconds at which the attempt started. */
  readonly startedAt: number;
}

/**
 * Holds the limits on the requests of all gateways that endpoints name in their responses, and the
 * tokens for requests that this gateway may send to them.
 */
export interface EndpointLimits {
  /** Records the head of a response. `now` is monotonic time in milliseconds. */
  readonly record: (observation: LimitObservation, now: number) => void;
  /** Records that a request needs an endpoint of a service. */
  readonly recordDemand: (service: string, now: number) => void;
  /** Whether a request may be sent to an endpoint now. */
  readonly canSend: (endpoint: EndpointReport, now: number) => boolean;
  /** Uses up the token for a request that is sent. */
  readonly recordSent: (endpoint: EndpointReport, now: number) => void;
  /** Lists what the other gateways may not know, and the tokens that are wanted. */
  readonly listReports: (now: number) => readonly LimitReport[];
  /** Applies the limits and tokens that the control host returned. */
  readonly applyShared: (limits: readonly SharedLimit[], now: number) => void;
  /** Reports all limits again, for a control host that may not know them. */
  readonly resendAll: () => void;
  /** Removes old records. */
  readonly expire: (now: number) => void;
}

/** Options of the limits. */
export interface EndpointLimitsOptions {
  readonly log: Logger;
  /** Finds the service of an endpoint's incarnation; undefined if the incarnation is not known. */
  readonly findService: (incarnation: string) => string | undefined;
  readonly countEndpoints: (service: string) => number;
  /** Returns the number of gateways that share the endpoints, including this one. */
  readonly countGateways: () => number;
}

interface LimitRow {
  readonly endpoint: string;
  readonly requestsPerSecond: number | undefined;
  /** Monotonic time in milliseconds of the latest response that named or ended the limit. */
  readonly at: number;
  /** Times at which the tokens that are held become void, in order. */
  readonly tokens: readonly number[];
  /** What this gateway sends by itself while no control host grants tokens. */
  readonly ownBucket: TokenBucket;
  /** Whether the control host may not have the latest limit. */
  readonly isNews: boolean;
}

/** Requests of this time show what a gateway needs, in milliseconds. */
const DEMAND_WINDOW_MS = 1_000;
/** Without an answer for this time no tokens can be expected, in milliseconds. */
const CONTROL_LOST_MS = 2_000;
/** Bounds the times that are kept for each service. */
const MAX_DEMAND = 1_000;

const listValid = (tokens: readonly number[], now: number): readonly number[] =>
  tokens.filter((endsAt) => endsAt > now);

/** Creates an empty table. */
export const createEndpointLimits = (options: EndpointLimitsOptions): EndpointLimits => {
  const { log, findService, countEndpoints, countGateways } = options;
  const rows = new Map<string, LimitRow>();
  const demand = new Map<string, number[]>();
  let answeredAt = -Infinity;

  const countDemand = (service: string, now: number): number =>
    (demand.get(service) ?? []).filter((at) => now - at <= DEMAND_WINDOW_MS).length;

  const computeOwnShare = (requestsPerSecond: number): number =>
    resolveSentRate(requestsPerSecond) / Math.max(1, countGateways());

  const readOwnBucket = ({ ownBucket, requestsPerSecond = 0 }: LimitRow, now: number) =>
    computeRefill(ownBucket, computeOwnShare(requestsPerSecond), now);

  const hasControl = (now: number): boolean => now - answeredAt <= CONTROL_LOST_MS;

  const computeWanted = (row: LimitRow, now: number): number => {
    const { endpoint, tokens, requestsPerSecond } = row;
    const service = findService(endpoint);
    if (requestsPerSecond === undefined || service === undefined) return 0;
    return computeWantedTokens({
      requestsPerSecond: countDemand(service, now) / (DEMAND_WINDOW_MS / 1_000),
      endpoints: countEndpoints(service),
      held: listValid(tokens, now).length,
    });
  };

  const updateLimit = (
    endpoint: string,
    next: Pick<LimitRow, 'requestsPerSecond' | 'at' | 'isNews'>,
    facts: Readonly<Record<string, unknown>>,
  ): void => {
    const known = rows.get(endpoint);
    const { requestsPerSecond, at } = next;
    const { tokens = [], ownBucket = { tokens: 0, at } } = known ?? {};
    rows.set(endpoint, { ...next, endpoint, tokens, ownBucket });
    const before = known?.requestsPerSecond;
    if (before === requestsPerSecond) return;
    const message =
      requestsPerSecond === undefined
        ? 'endpoint ended its request limit'
        : 'endpoint named its request limit';
    log.info({ ...facts, incarnation: endpoint, before, requestsPerSecond }, message);
  };

  return {
    record: ({ endpoint, request, requestsPerSecond, startedAt }, now) => {
      const key = formatIncarnation(endpoint);
      const known = rows.get(key);
      const isLimited = known?.requestsPerSecond !== undefined;
      // A response to an earlier request may arrive after the one that named the limit.
      if (requestsPerSecond === undefined && (!isLimited || startedAt <= known.at)) return;
      updateLimit(key, { requestsPerSecond, at: now, isNews: true }, { request });
    },
    recordDemand: (service, now) => {
      const times = demand.get(service) ?? [];
      demand.set(service, [...times.slice(-MAX_DEMAND), now]);
    },
    canSend: (endpoint, now) => {
      // Asked for every endpoint of every choice.
      if (rows.size === 0) return true;
      const row = rows.get(formatIncarnation(endpoint));
      if (row?.requestsPerSecond === undefined) return true;
      if (listValid(row.tokens, now).length > 0) return true;
      return !hasControl(now) && computeGrant(readOwnBucket(row, now), 1) > 0;
    },
    recordSent: (endpoint, now) => {
      const key = formatIncarnation(endpoint);
      const row = rows.get(key);
      if (row?.requestsPerSecond === undefined) return;
      const [used, ...tokens] = listValid(row.tokens, now);
      if (used !== undefined) {
        rows.set(key, { ...row, tokens });
        return;
      }
      const bucket = readOwnBucket(row, now);
      rows.set(key, { ...row, tokens, ownBucket: { ...bucket, tokens: bucket.tokens - 1 } });
    },
    listReports: (now) => {
      const due = [...rows.values()]
        .map((row) => ({ row, wanted: computeWanted(row, now) }))
        .filter(({ row, wanted }) => row.isNews || wanted > 0)
        .slice(0, MAX_REPORTED_LIMITS);
      return due.map(({ row, wanted }) => {
        const { endpoint, requestsPerSecond, at } = row;
        // Deleting the row first moves it to the end, so that the ones left out come next.
        rows.delete(endpoint);
        rows.set(endpoint, { ...row, isNews: false });
        return { endpoint, requestsPerSecond, ageMs: now - at, wanted };
      });
    },
    applyShared: (limits, now) => {
      answeredAt = now;
      limits.forEach(({ endpoint, requestsPerSecond, ageMs, granted }) => {
        const known = rows.get(endpoint);
        const at = now - ageMs;
        if (!known || at > known.at) {
          updateLimit(
            endpoint,
            { requestsPerSecond, at, isNews: false },
            { source: 'another gateway' },
          );
        }
        const row = rows.get(endpoint)!;
        const endsAt = now + TOKEN_LIFETIME_MS;
        const added = Array.from({ length: granted }, () => endsAt);
        rows.set(endpoint, { ...row, tokens: [...listValid(row.tokens, now), ...added] });
      });
    },
    resendAll: () => rows.forEach((row, key) => rows.set(key, { ...row, isNews: true })),
    expire: (now) => {
      for (const [key, { at }] of rows) {
        if (now - at > LIMIT_MEMORY_MS) rows.delete(key);
      }
    },
  };
};
