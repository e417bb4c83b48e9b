import { z } from 'zod';
import {
  computePermitTerms,
  createPermitBucket,
  grantPermits,
  type ColdBounds,
  type PermitBucket,
} from '../decisions';
import type { Logger } from '../log';
import type { ColdStart } from '../routing';
import type { ConfirmedTerm } from './leaderConfirmation';

/** Maximum number of endpoints in each list of a gateway's report. */
export const MAX_COLD_ENDPOINTS = 500;

/** Schema of a doubt that an endpoint is still warm. */
export const sharedDoubtSchema = z.strictObject({
  /** The endpoint's incarnation. */
  endpoint: z.string(),
  /** Milliseconds since the connection to the endpoint was lost or refused. */
  ageMs: z.number().min(0),
});

/** A doubt that an endpoint is still warm: a connection to it was lost or refused. */
export type SharedDoubt = Readonly<z.infer<typeof sharedDoubtSchema>>;

/** Schema of a gateway's report on cold endpoints. */
export const shareColdParams = z.strictObject({
  wanted: z
    .array(
      z.strictObject({
        // Its id: a restarted endpoint may have kept it, and gateways then know either start.
        endpoint: z.string(),
        service: z.string(),
        permits: z.number().int().min(1).max(100),
      }),
    )
    .max(MAX_COLD_ENDPOINTS)
    .readonly(),
  doubts: z.array(sharedDoubtSchema).max(MAX_COLD_ENDPOINTS).readonly(),
});

/** A gateway's report on cold endpoints: the permits that it wants, and its new doubts. */
export type ShareColdParams = Readonly<z.infer<typeof shareColdParams>>;

/** Permits to send to a cold endpoint. */
export interface GrantedPermits {
  /** Id of the endpoint. */
  readonly endpoint: string;
  readonly service: string;
  readonly permits: number;
}

/** The leading control host. */
export interface ColdLeader {
  readonly term: number;
  /** Time since which it collects the doubts of all gateways, in milliseconds. */
  readonly collectingMs: number;
}

/** The permits granted to a gateway, and the latest doubts of all gateways. */
export interface ShareColdAnswer {
  readonly granted: readonly GrantedPermits[];
  readonly doubts: readonly SharedDoubt[];
  /** Absent if the host grants no permits: no quorum has confirmed lately that it leads. */
  readonly leader?: ColdLeader;
}

/** Grants permits for cold endpoints, and passes on which endpoints may have become cold. */
export interface ColdTable {
  /** `now` is monotonic time in milliseconds. */
  readonly share: (params: ShareColdParams, now: number) => ShareColdAnswer;
}

/** Options of the table of cold endpoints. */
export interface ColdTableOptions {
  readonly log: Logger;
  /** Undefined if the deployment sets none; nothing is granted then. */
  readonly bounds: ColdBounds | undefined;
  readonly findColdStart: (service: string) => ColdStart | undefined;
  readonly readLeader: () => ConfirmedTerm | undefined;
}

/** Buckets of endpoints that no gateway has asked for are dropped after this time, in milliseconds. */
const BUCKET_MEMORY_MS = 60_000;
/**
 * Doubts are passed on for this time, in milliseconds, so that a gateway that has just started learns
 * of them. Reports that are missing since then have long been overdue.
 */
const DOUBT_MEMORY_MS = 6_000;

const LOG_INTERVAL_MS = 1_000;

interface Term {
  readonly term: number;
  /** Monotonic time in milliseconds at which the term was first known to be confirmed. */
  readonly confirmedAt: number;
}

/** Creates an empty table. It is soft state; a new leader starts in debt. */
export const createColdTable = (options: ColdTableOptions): ColdTable => {
  const { log, bounds, findColdStart, readLeader } = options;
  const buckets = new Map<string, PermitBucket>();
  /** Monotonic times in milliseconds, in their order. */
  const doubts = new Map<string, number>();
  let current: Term | undefined;
  let tally = { since: 0, asked: 0, granted: 0 };

  // Logs sums only: gateways call many times a second.
  const recordPermits = (asked: number, granted: number, now: number): void => {
    if (asked === 0) return;
    tally = { ...tally, asked: tally.asked + asked, granted: tally.granted + granted };
    if (now - tally.since < LOG_INTERVAL_MS) return;
    log.info({ ...tally, endpoints: buckets.size, now }, 'permits for cold endpoints granted');
    tally = { since: now, asked: 0, granted: 0 };
  };

  const updateTerm = (term: number, now: number): Term => {
    if (current?.term === term) return current;
    log.info({ before: current?.term, term }, 'grants permits for cold endpoints as the leader');
    buckets.clear();
    current = { term, confirmedAt: now };
    return current;
  };

  const expire = (now: number): void => {
    for (const [endpoint, { at }] of buckets) {
      if (now - at > BUCKET_MEMORY_MS) buckets.delete(endpoint);
    }
    for (const [endpoint, at] of doubts) {
      if (now - at > DOUBT_MEMORY_MS) doubts.delete(endpoint);
    }
  };

  const grant = (
    { endpoint, service, permits }: ShareColdParams['wanted'][number],
    { confirmedAt }: Term,
    now: number,
  ): number => {
    const coldStart = findColdStart(service);
    if (!coldStart || !bounds) return 0;
    const terms = computePermitTerms({ ...coldStart, ...bounds });
    const known = buckets.get(endpoint) ?? createPermitBucket(terms, confirmedAt);
    const { granted, bucket } = grantPermits(known, terms, permits, now);
    buckets.set(endpoint, bucket);
    return granted;
  };

  const grantAll = (wanted: ShareColdParams['wanted'], term: Term, now: number) => {
    const granted = wanted.map((item) => ({
      endpoint: item.endpoint,
      service: item.service,
      permits: grant(item, term, now),
    }));
    const count = (items: readonly { readonly permits: number }[]): number =>
      items.reduce((sum, { permits }) => sum + permits, 0);
    recordPermits(count(wanted), count(granted), now);
    return granted.filter(({ permits }) => permits > 0);
  };

  return {
    share: ({ wanted, doubts: reported }, now) => {
      expire(now);
      reported.forEach(({ endpoint, ageMs }) => {
        const at = Math.max(now - ageMs, doubts.get(endpoint) ?? -Infinity);
        doubts.delete(endpoint);
        doubts.set(endpoint, at);
      });
      const leader = readLeader();
      const term = leader && updateTerm(leader.term, now);
      return {
        granted: term ? grantAll(wanted, term, now) : [],
        doubts: [...doubts]
          .slice(-MAX_COLD_ENDPOINTS)
          .map(([endpoint, at]) => ({ endpoint, ageMs: now - at })),
        ...(term && { leader: { term: term.term, collectingMs: now - term.confirmedAt } }),
      };
    },
  };
};
