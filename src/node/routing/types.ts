/** What may be repeated: `idempotent` work may, `once` work may not, a `stream` only if it can resume. */
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
  /** Beginning of the path, with a slash at both ends. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Longest time in milliseconds that a caller is kept waiting. */
  readonly timeoutMs: number;
  /** Time in milliseconds to the answer, or to a stream's first event. */
  readonly targetLatencyMs: number;
  /** Longest pause between two events of a stream, in milliseconds. */
  readonly gapTargetMs: number | undefined;
  /** Urgency, 0 is the most urgent. */
  readonly rank: number;
  readonly targets: readonly RouteTarget[];
  /** Most endpoints that one request may be sent to. */
  readonly attemptLimit: number;
  /** Whether requests need no API key. */
  readonly isPublic: boolean;
  /** Whether a broken stream may go on at another endpoint. */
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

/** What the endpoints of an engine pool are able to do. */
export interface EngineProfile {
  /** Requests that an endpoint runs at once. */
  readonly slots: number;
  /** Tokens that an endpoint's memory holds. */
  readonly cacheTokens: number;
  /** Tokens in one event of a stream. */
  readonly tokensPerEvent: number;
  readonly models: readonly EngineModel[];
}

/** A service of the routing configuration. */
export interface RoutedService {
  readonly name: string;
  /** Connections that an endpoint accepts from all callers together. */
  readonly connectionLimit: number;
  /** Absent for a plain service. */
  readonly engine: EngineProfile | undefined;
}

/** An organisation with its API keys. */
export interface RoutedOrganisation {
  readonly name: string;
  readonly keys: readonly string[];
  /** Urgency that goes before the route's, 0 is the most urgent. */
  readonly rank: number | undefined;
}

/** What a caller may send, and how long it may take. */
export interface RequestLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** The routing configuration: replaced as a whole, the highest version is in force. */
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
  /** The version that is brought in. */
  readonly target: string;
  readonly durationMs: number;
  readonly stage: RolloutStage;
}
