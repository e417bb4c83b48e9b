import type { Logger } from '../log';
import type { RouteTable, RoutedOrganisation, Route } from '../routing';
import type { WindowBudget } from '../decisions';
import type { CallerReply, ReplyHead } from './callerReply';
import type { EndpointChooser } from './endpointChoice';
import type { EndpointLoads } from './endpointLoads';
import type { GatewayMetrics } from './gatewayMetrics';
import type { RoutingSnapshot } from './routingView';
import type { SessionVersions } from './sessionVersions';
import type { AttemptTarget, CallerHeaders, EndpointAttempt, HeaderCodec } from './types';
import type { VersionTallies } from './versionTallies';

/** A request that was admitted: it has a route and, unless that is public, an organisation. */
export interface AdmittedRequest {
  readonly caller: CallerHeaders;
  readonly method: string;
  /** Path and query as the caller sent them. */
  readonly path: string;
  readonly body: Buffer;
  readonly route: Route;
  readonly organisation: RoutedOrganisation | undefined;
  readonly table: RouteTable;
  /** Steady time in milliseconds at which the request's head was read. */
  readonly receivedAt: number;
  /** Steady time at which the answer is due, by the caller's deadline and the route's timeout. */
  readonly deadlineAt: number;
}

/** How a request ended, for the log and the metrics. */
export type ExchangeOutcome =
  'answered' | 'refused' | 'failed' | 'timed_out' | 'caller_gone' | 'broken_off';

/** What exchanges work with. */
export interface ExchangeDependencies {
  readonly codec: HeaderCodec;
  readonly chooser: EndpointChooser;
  readonly loads: EndpointLoads;
  readonly sessions: SessionVersions;
  readonly tallies: VersionTallies;
  readonly metrics: GatewayMetrics;
  readonly log: Logger;
  /** Gives the routing facts while the lease holds. */
  readonly readSnapshot: () => RoutingSnapshot | undefined;
  readonly findBudget: (service: string) => WindowBudget;
  readonly startAttempt: (target: AttemptTarget) => EndpointAttempt;
  /** Gives milliseconds on a steady clock. */
  readonly readNow: () => number;
}

/** An answer without a length, of which nobody knows whether it is whole. */
export interface UnverifiedResponse {
  readonly head: ReplyHead;
  readonly body: Buffer;
}

/** One request on its way: what was tried so far. */
export interface Exchange {
  readonly request: AdmittedRequest;
  readonly reply: CallerReply;
  readonly tried: Set<string>;
  attempts: number;
  /** Whether an endpoint may have run the request. */
  mayHaveRun: boolean;
  /** Model of the answer that was dropped, if any, and the one that shall answer instead. */
  dropped: string | undefined;
  secondModel: string | undefined;
  /** Opinion of the latest answer's model of it, if it had one. */
  confidence: number | undefined;
  /** An answer that may have been cut, kept in case that no better one comes. */
  unverified: UnverifiedResponse | undefined;
  /** Last event that the caller has. */
  lastEventId: string | undefined;
  /** Steady time of the first byte to the caller, and the events sent so far. */
  firstByteAt: number | undefined;
  events: number;
  /** The attempt under way. */
  currentAttempt: EndpointAttempt | undefined;
  /** Why the latest attempt gave no answer. */
  reason: string;
  isFinished: boolean;
}
