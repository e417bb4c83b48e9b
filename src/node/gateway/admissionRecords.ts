import type { ScarcityReason, ScarcityVerdict } from '../decisions';
import type { Logger } from '../log';
import type { GatewayMetrics } from './gatewayMetrics';
import type { RefusedRequests } from './refusedRequests';
import type { Judgement, ScarcityRefusal, ScarcityRequest } from './scarcityTypes';

/** How the admission of a request ended. */
export type AdmissionOutcome = 'admitted' | 'waited' | 'refused';

/** Writes log lines and metrics for admissions. */
export interface AdmissionRecords {
  /** Records the end of an admission; one that took place at once is not logged. */
  readonly record: (
    request: ScarcityRequest,
    judgement: Judgement,
    outcome: AdmissionOutcome,
    waitedMs: number,
  ) => void;
  readonly createRefusal: (
    request: ScarcityRequest,
    verdict: Extract<ScarcityVerdict, { readonly type: 'refuse' }>,
    now: number,
  ) => ScarcityRefusal;
}

/** Options of the records of admissions. */
export interface AdmissionRecordOptions {
  readonly metrics: Pick<GatewayMetrics, 'admissions' | 'admissionWait'>;
  readonly log: Pick<Logger, 'info'>;
  readonly refused: RefusedRequests;
}

const REASONS: Readonly<Record<ScarcityReason, string>> = {
  pool: 'the endpoints have too much work for a request of this rank to be on time',
  queue: 'the requests that wait at the gateway leave no time for this one',
  hopeless: 'no endpoint can be offered the request within its target',
  queue_full: 'too many requests wait at the gateway',
};

/** Creates the records of admissions. */
export const createAdmissionRecords = ({
  metrics,
  log,
  refused,
}: AdmissionRecordOptions): AdmissionRecords => ({
  record: (request, { verdict, pool, useRatio, isReturner }, outcome, waitedMs) => {
    const reason = verdict.type === 'run' ? 'room' : verdict.reason;
    const { name: route } = request.route;
    metrics.admissions.inc({ route, outcome, reason });
    if (waitedMs > 0) metrics.admissionWait.observe({ route }, waitedMs / 1_000);
    if (outcome === 'admitted') return;
    log.info(
      {
        request: request.requestId,
        route,
        rank: request.rank,
        organisation: request.organisation,
        outcome,
        reason,
        limitMs: Math.round(verdict.limitMs),
        poolMs: Math.round(pool.pendingMs),
        poolTaken: Number(pool.takenFraction.toFixed(3)),
        poolAgeMs: Number.isFinite(pool.ageMs) ? Math.round(pool.ageMs) : undefined,
        useRatio: Number(useRatio.toFixed(2)),
        isReturner,
        waitedMs: Math.round(waitedMs),
        retryAfterMs: verdict.type === 'refuse' ? Math.round(verdict.retryAfterMs) : undefined,
      },
      outcome === 'refused' ? 'request refused under scarcity' : 'wait for a place ended',
    );
  },
  createRefusal: ({ fingerprint, deadlineAt }, { reason, retryAfterMs }, now) => {
    refused.record(fingerprint, deadlineAt, now);
    return { type: 'refused', reason: REASONS[reason], retryAfterMs };
  },
});
