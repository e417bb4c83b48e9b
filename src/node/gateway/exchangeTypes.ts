import type { Logger } from '../log';
import type { EndpointReport } from '../registry';
import type { RouteTable, RoutedOrganisation, Route } from '../routing';
import type { WindowBudget } from '../decisions';
import type { ByteAccount } from './byteBudget';
import type { CallerReply, ReplyHead } from './callerReply';
import type { ColdPermits } from './coldPermits';
import type { EndpointChooser } from './endpointChoice';
import type { EndpointLimits } from './endpointLimits';
import type { EndpointLoads } from './endpointLoads';
import type { EndpointBackoffs } from './endpointBackoffs';
import type { ProcessAnswer } from './endpointProcess';
import type { GatewayMetrics } from './gatewayMetrics';
import type { RequestGuard } from './requestGuard';
import type { RequestQuarantine } from './requestQuarantine';
import type { RegistryView } from './registryView';
import type { RoutingSnapshot } from './routingView';
import type { ScarcityAdmission } from './scarcityAdmission';
import type { SessionExchange } from './sessionExchange';
import type { SessionVersions } from './sessionVersions';
import type { AttemptTarget, CallerHeaders, EndpointAttempt, HeaderCodec } from './types';
import type { VersionTallies } from './versionTallies';

/** An admitted request. It has a route and, unless the route is public, an organisation. */
export interface AdmittedRequest {
  readonly caller: CallerHeaders;
  readonly method: string;
  /** Path and query string as the caller sent them. */
  readonly path: string;
  readonly body: Buffer;
  /** Bytes that are held for the request and its responses. */
  readonly account: ByteAccount;
  /** Identifies the same request when it comes again under another id. */
  readonly fingerprint: string;
  readonly route: Route;
  readonly organisation: RoutedOrganisation | undefined;
  readonly table: RouteTable;
  /** Monotonic time in milliseconds at which the request's head was read. */
  readonly receivedAt: number;
  /**
   * Monotonic time in milliseconds at which the caller's deadline or the route's timeout ends,
   * whichever is first.
   */
  readonly deadlineAt: number;
}

/** How a request ended, as written to the log and the metrics. */
export type ExchangeOutcome =
  'answered' | 'refused' | 'failed' | 'timed_out' | 'caller_gone' | 'broken_off';

/** Dependencies that all exchanges share. */
export interface ExchangeDependencies {
  readonly codec: HeaderCodec;
  readonly chooser: EndpointChooser;
  readonly loads: EndpointLoads;
  readonly sessions: SessionVersions;
  readonly sessionExchange: Pick<SessionExchange, 'bindUnknown'>;
  readonly quarantine: Pick<RequestQuarantine, 'recordAnswer' | 'recordLoss'>;
  readonly requestGuard: RequestGuard;
  readonly limits: EndpointLimits;
  readonly coldPermits: Pick<ColdPermits, 'recordSent' | 'recordDemand' | 'recordLoss'>;
  readonly admission: Pick<ScarcityAdmission, 'admit' | 'hasRoomForLarger'>;
  readonly recordLeaving: RegistryView['recordLeaving'];
  readonly backoffs: Pick<EndpointBackoffs, 'record'>;
  readonly tallies: VersionTallies;
  readonly metrics: GatewayMetrics;
  readonly log: Logger;
  /** Returns the routing snapshot while the lease is valid. */
  readonly readSnapshot: () => RoutingSnapshot | undefined;
  readonly findBudget: (service: string) => WindowBudget;
  readonly startAttempt: (target: AttemptTarget) => EndpointAttempt;
  /** Asks which process is at an endpoint's address. */
  readonly fetchProcessState: (endpoint: EndpointReport) => Promise<ProcessAnswer>;
  /** Returns the monotonic time in milliseconds. */
  readonly readNow: () => number;
}

/** A close-delimited answer of an endpoint that did not say who it is. */
export interface DoubtfulAnswer {
  readonly head: ReplyHead;
  readonly body: Buffer;
}

/** The state of one request across its attempts. */
export interface Exchange {
  readonly request: AdmittedRequest;
  readonly reply: CallerReply;
  readonly tried: Set<string>;
  attempts: number;
  /** Whether the request has been admitted, so that it is not held back again. */
  isAdmitted: boolean;
  /** Engine priority of the latest attempt, which later attempts keep or exceed. */
  priority: number | undefined;
  /** Whether an endpoint may have run the request. */
  mayHaveRun: boolean;
  /** Whether the request tests if a quarantined prompt block still takes endpoints down. */
  isProbe: boolean;
  /** Model whose answer was dropped, if any, and the model that is to answer instead. */
  dropped: string | undefined;
  secondModel: string | undefined;
  /** Confidence that the model gave for the latest answer, if any. */
  confidence: number | undefined;
  /** Sent to the caller as it came if no other endpoint answers, unless one runs it and fails. */
  doubtfulAnswer: DoubtfulAnswer | undefined;
  /** Id of the last event of an attempt that ended without a sign that the stream is complete. */
  unconfirmedEndId: string | undefined;
  /** Id of the event after which an attempt broke off inside another one, if one did. */
  begunEvent: { readonly afterId: string | undefined } | undefined;
  /** Ids of the last event that the caller has received, and of the one before it. */
  lastEventId: string | undefined;
  previousEventId: string | undefined;
  /**
   * Monotonic time in milliseconds of the first byte sent to the caller, and the number of events
   * sent so far.
   */
  firstByteAt: number | undefined;
  events: number;
  /** The running attempt. */
  currentAttempt: EndpointAttempt | undefined;
  /** Why the latest attempt failed. */
  reason: string;
  isFinished: boolean;
}
