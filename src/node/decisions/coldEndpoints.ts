// Load pattern: the endpoints of a zone return all at once, cold, under the addresses and ids that
// they had. Prefix affinity makes all gateways prefer the same endpoint, and a gateway may not have
// heard that it is cold: 19 to 20 requests reached one in a second, where 18.2 are allowed.

/** Bounds that a deployment sets on the requests to cold endpoints. */
export interface ColdBounds {
  /** Factor on the rate of a cold endpoint. */
  readonly overage: number;
  /** Requests in a second beyond that. */
  readonly slack: number;
}

/** The rate of a service's cold endpoints with the bounds on it. */
export interface ColdRate extends ColdBounds {
  /** Requests per second that a cold endpoint takes from all gateways together. */
  readonly requestsPerSecond: number;
}

/** How permits to send to a cold endpoint are granted. */
export interface PermitTerms {
  readonly requestsPerSecond: number;
  /** Most permits that are kept while no gateway asks for any. */
  readonly maxKept: number;
  /** How long a permit may be used after its gateway called for it, in milliseconds. */
  readonly lifetimeMs: number;
}

const MS_PER_SECOND = 1_000;
/**
 * Allowance from the last check of a permit, when the connection is established, to the arrival of
 * the request: one way through the network (0.5 or 1.4 ms between zones) and delays of both hosts.
 */
const TRANSIT_MS = 100;
/**
 * Time for which permits are kept without a call for them, in seconds. Gateways call every 150 to
 * 500 ms, and not all have demand.
 */
const KEPT_SECONDS = 0.35;
/** Longest lifetime of a permit; unused ones are lost to other gateways. */
const MAX_LIFETIME_MS = 1_000;
/** A shorter lifetime than a call and its answer take grants nothing that can be used. */
const MIN_LIFETIME_MS = 50;

/**
 * Computes the terms of permits. Proof that no second exceeds the bound B = rate x overage + slack:
 * a permit granted at g was called for before g, so it is used before g + lifetime, and its request
 * arrives before g + lifetime + transit. The requests that arrive in the second (w, w + 1] come from
 * grants in (w - lifetime - transit, w + 1]. A bucket that keeps k permits grants at most
 * k + rate x span in any span, so there are at most k + rate x (1 + lifetime + transit) of them. The
 * lifetime is chosen so that this equals B. With 8.8 requests per second, an overage of 1.5 and a
 * slack of 5: B = 18.2, k = 3.08, lifetime 618 ms: 3.08 + 8.8 x (1 + 0.618 + 0.1) = 18.2.
 */
export const computePermitTerms = ({
  requestsPerSecond,
  overage,
  slack,
}: ColdRate): PermitTerms => {
  const maxKept = Math.min(slack, Math.max(1, KEPT_SECONDS * requestsPerSecond));
  const spareSeconds = overage - 1 + (slack - maxKept) / requestsPerSecond;
  const lifetimeMs = Math.min(MAX_LIFETIME_MS, spareSeconds * MS_PER_SECOND - TRANSIT_MS);
  return {
    requestsPerSecond,
    maxKept,
    lifetimeMs: lifetimeMs < MIN_LIFETIME_MS ? 0 : lifetimeMs,
  };
};

/**
 * How long a host grants permits after it asked a quorum to confirm that it leads, in milliseconds.
 * The quorum is asked again with each call that finds the answer older than a part of this.
 */
export const LEADER_CONFIRMED_MS = 400;

/** Permits of one endpoint that a leader may grant. */
export interface PermitBucket {
  readonly permits: number;
  /** Monotonic time in milliseconds of the latest refill. */
  readonly at: number;
}

/**
 * Creates the bucket of an endpoint, as of the time at which a leader's term was first confirmed.
 * The leader before may have asked its quorum just before that, and may grant for as long as that
 * counts; the debt lets nothing be granted meanwhile. Both together then grant as one bucket does.
 */
export const createPermitBucket = (terms: PermitTerms, confirmedAt: number): PermitBucket => ({
  permits: (-terms.requestsPerSecond * LEADER_CONFIRMED_MS) / MS_PER_SECOND,
  at: confirmedAt,
});

/** The permits granted to a gateway, and the bucket without them. */
export interface PermitGrant {
  readonly granted: number;
  readonly bucket: PermitBucket;
}

/** Refills a bucket and grants whole permits of those wanted. */
export const grantPermits = (
  { permits, at }: PermitBucket,
  { requestsPerSecond, maxKept, lifetimeMs }: PermitTerms,
  wanted: number,
  now: number,
): PermitGrant => {
  const refilled = Math.min(
    maxKept,
    permits + (requestsPerSecond * Math.max(0, now - at)) / MS_PER_SECOND,
  );
  const granted = lifetimeMs > 0 ? Math.max(0, Math.min(wanted, Math.floor(refilled))) : 0;
  return { granted, bucket: { permits: refilled - granted, at: Math.max(at, now) } };
};

/** What a gateway knows about whether an endpoint is cold. */
export type ColdState = 'warm' | 'cold' | 'unknown';

/** A reason not to rely on the reports that an endpoint has made so far. */
export interface ColdDoubt {
  /** Monotonic time in milliseconds. */
  readonly at: number;
  /** Sequence number of the first report that arrived later, which may have been made earlier. */
  readonly firstSequence: number | undefined;
}

/** What a gateway has seen of an endpoint. */
export interface ColdObservation {
  readonly sequence: number;
  /** Remaining cold time by the latest report, and when that report arrived, in milliseconds. */
  readonly warmupMs: number;
  readonly arrivedAt: number;
  readonly doubt: ColdDoubt | undefined;
}

/**
 * Reports after the first one that arrives after a doubt, until one was certainly made after it.
 * Reports are made every 1,200 ms and may be seconds late, so two cover a delay of 2.4 s.
 */
const LATER_REPORTS = 2;

/** Whether no report that was made after the doubt has arrived. */
export const isDoubted = ({ doubt, sequence }: ColdObservation): boolean =>
  doubt !== undefined &&
  (doubt.firstSequence === undefined || sequence < doubt.firstSequence + LATER_REPORTS);

/** Resolves whether an endpoint is known to be warm or cold. */
export const resolveColdState = (seen: ColdObservation, now: number): ColdState => {
  if (seen.warmupMs > 0 && now < seen.arrivedAt + seen.warmupMs) return 'cold';
  return isDoubted(seen) ? 'unknown' : 'warm';
};

/** A report of an endpoint, as far as it concerns its cold state. */
export interface ColdReport {
  readonly sequence: number;
  readonly warmupMs: number;
}

/** Updates what was seen of an endpoint with the latest report, which may be the one seen before. */
export const updateObservation = (
  seen: ColdObservation | undefined,
  { sequence, warmupMs }: ColdReport,
  now: number,
): ColdObservation => {
  if (!seen) return { sequence, warmupMs, arrivedAt: now, doubt: undefined };
  if (sequence <= seen.sequence) return seen;
  const { doubt } = seen;
  const isFirst = doubt !== undefined && doubt.firstSequence === undefined;
  return {
    sequence,
    warmupMs,
    arrivedAt: now,
    doubt: isFirst ? { ...doubt, firstSequence: sequence } : doubt,
  };
};

/** Adds a doubt to what was seen of an endpoint; a later one replaces an earlier one. */
export const addDoubt = (seen: ColdObservation, at: number): ColdObservation =>
  seen.doubt !== undefined && seen.doubt.at >= at
    ? seen
    : { ...seen, doubt: { at, firstSequence: undefined } };

/** Input for the number of permits that a gateway asks for. */
export interface PermitDemand {
  /** Requests of the last second that no warm endpoint could serve in time. */
  readonly requestsPerSecond: number;
  /** Cold endpoints that can take them. */
  readonly endpoints: number;
  /** Permits that the gateway holds for the endpoint. */
  readonly held: number;
}

/** Bounds what one gateway takes from the others at once. */
const MAX_WANTED = 10;

/** Computes how many permits a gateway asks for: what it can use before they are void. */
export const computeWantedPermits = (
  { requestsPerSecond, endpoints, held }: PermitDemand,
  { lifetimeMs }: PermitTerms,
): number => {
  if (requestsPerSecond === 0) return 0;
  const perLifetime = ((requestsPerSecond / Math.max(1, endpoints)) * lifetimeMs) / MS_PER_SECOND;
  return Math.max(0, Math.min(MAX_WANTED, Math.ceil(perLifetime)) - held);
};

/** Input for the retry time of a request that got no permit. */
export interface PermitShortage {
  /** Requests of the last second that no warm endpoint could serve in time, at this gateway. */
  readonly requestsPerSecond: number;
  /** Cold endpoints of the service. */
  readonly endpoints: number;
  readonly gateways: number;
}

/** Time in which the next call for permits has probably been answered, in milliseconds. */
const MIN_RETRY_MS = 250;
/** Cold endpoints have probably become warm by then, in milliseconds. */
const MAX_RETRY_MS = 3_000;

/** Computes when a permit is probably left for a request that got none, in milliseconds. */
export const computePermitRetryMs = (
  { requestsPerSecond, endpoints, gateways }: PermitShortage,
  terms: PermitTerms,
): number => {
  const ownShare = (terms.requestsPerSecond * Math.max(1, endpoints)) / Math.max(1, gateways);
  const waitMs = (requestsPerSecond / ownShare) * MS_PER_SECOND;
  return Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, waitMs));
};
