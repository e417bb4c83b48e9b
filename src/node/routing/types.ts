/**
 * Retry semantics of a route: `idempotent` requests may be retried, `once` requests may not, and a
 * `stream` only if it can resume.
 */
export type RouteKind = 'idempotent' | 'once' | 'stream';

/** A service of a route with its share of the route's traffic. */
export interface RouteTarget {
  readonly service: string;
  /** Share of the traffic, relative to the other targets. */
  readonly weight: number;
}

/** One route of the routing configuration. */
export interface Route {
  readonly name: string;
  /** Host name that callers address, without a port. */
  readonly host: string;
  /** Path prefix, with a slash at both ends. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Longest time that a caller waits, in milliseconds. */
  readonly timeoutMs: number;
  /** Target time to the answer, or to the first event of a stream, in milliseconds. */
  readonly targetLatencyMs: number;
  /** Target for the longest gap between two events of a stream, in milliseconds. */
  readonly gapTargetMs: number | undefined;
  /** Urgency; 0 is the most urgent. */
  readonly rank: number;
  readonly targets: readonly RouteTarget[];
  /** Largest number of endpoints that one request may be sent to. */
  readonly attemptLimit: number;
  /** Whether requests are allowed without an API key. */
  readonly isPublic: boolean;
  /** Whether an interrupted stream may resume at another endpoint. */
  readonly canResume: boolean;
  /** Models that may answer, smallest first; empty when the caller names the model. */
  readonly models: readonly string[];
}

/** A model of an engine pool. */
export interface EngineModel {
  readonly name: string;
  /** Price of 1,000 generated tokens. */
  readonly cost: number;
}

/** Capacity and models of the endpoints of an engine pool. */
export interface EngineProfile {
  /** Requests that an endpoint runs at once. */
  readonly slots: number;
  /** Capacity of an endpoint's cache memory, in tokens. */
  readonly cacheTokens: number;
  /** Tokens in one event of a stream. */
  readonly tokensPerEvent: number;
  readonly models: readonly EngineModel[];
}

/** How an endpoint of a service takes requests soon after a start. */
export interface ColdStart {
  /** How long an endpoint is cold, in milliseconds. */
  readonly durationMs: number;
  /** Requests per second that a cold endpoint takes from all gateways together. */
  readonly requestsPerSecond: number;
}

/** A service of the routing configuration. */
export interface RoutedService {
  readonly name: string;
  /** Connections that an endpoint accepts from all callers together. */
  readonly connectionLimit: number;
  /** Path of the health check; absent in configurations stored by earlier releases. */
  readonly healthPath?: string | undefined;
  /** Engine profile; absent for a plain service. */
  readonly engine: EngineProfile | undefined;
  /**
   * Rate of cold endpoints; undefined if they take any rate. Absent in configurations stored by
   * earlier releases.
   */
  readonly coldStart?: ColdStart | undefined;
}

/** An organisation with its API keys. */
export interface RoutedOrganisation {
  readonly name: string;
  readonly keys: readonly string[];
  /** Urgency that overrides the route's; 0 is the most urgent. */
  readonly rank: number | undefined;
}

/** Size and time limits for requests from callers. */
export interface RequestLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** The routing configuration. It is replaced as a whole, and the highest version applies. */
export interface RoutingConfig {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly RoutedService[];
  readonly organisations: readonly RoutedOrganisation[];
  readonly limits: RequestLimits;
}

/** Stages of a roll-out, in order; the last two are final. */
export type RolloutStage = 'canary' | 'early' | 'ramp' | 'full' | 'completed' | 'rolledBack';

/** A roll-out of a new version of a routed service. */
export interface ServiceRollout {
  readonly service: string;
  /** The version to roll out. */
  readonly target: string;
  readonly durationMs: number;
  readonly stage: RolloutStage;
}
