import type { PoolLoad, ScarcityVerdict } from '../decisions';
import type { Route, RouteTable } from '../routing';

/** Predicted work of a request at its best endpoint, in milliseconds. */
export interface PredictedWork {
  /** Prefill work that is ahead of the request there. */
  readonly queueMs: number;
  readonly prefillMs: number;
}

/** The service of a request and its rank there. */
export interface RankedRequest {
  readonly route: Route;
  readonly rank: number;
  readonly service: string;
  readonly table: RouteTable;
  readonly gatewayCount: number;
}

/** A request that asks to be sent to an endpoint. */
export interface ScarcityRequest extends RankedRequest {
  readonly requestId: string;
  /** Name of the organisation; undefined on a public route without a key. */
  readonly organisation: string | undefined;
  readonly fingerprint: string;
  /** Monotonic time in milliseconds at which the target is missed. */
  readonly targetEndsAt: number;
  /** Monotonic time in milliseconds at which the caller's limit or the route's timeout ends. */
  readonly deadlineAt: number;
  readonly work: PredictedWork;
  /** Estimates the work again; undefined when no endpoint accepts the request. */
  readonly estimateWork: () => PredictedWork | undefined;
  /** Whether the request has ended otherwise. */
  readonly hasEnded: () => boolean;
}

/** A refusal with its reason and the time after which the caller may return. */
export interface ScarcityRefusal {
  readonly type: 'refused';
  readonly reason: string;
  readonly retryAfterMs: number;
}

/** How a wait ended: the request is to be placed again, it is refused, or it ended otherwise. */
export type WaitEnd = { readonly type: 'run' } | ScarcityRefusal | { readonly type: 'ended' };

/** Whether a request runs now, is refused, or waits. */
export type AdmissionResult =
  { readonly type: 'run' } | ScarcityRefusal | { readonly type: 'wait' };

/** A verdict with what it was based on. */
export interface Judgement {
  readonly verdict: ScarcityVerdict;
  readonly pool: PoolLoad;
  readonly useRatio: number;
  readonly isReturner: boolean;
}
