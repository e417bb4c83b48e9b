import { hasRoomForLarger } from '../decisions';
import { convertToRouterError } from '../errors';
import type { Logger } from '../log';
import { createAdmissionRecords } from './admissionRecords';
import type { GatewayMetrics } from './gatewayMetrics';
import { createOrganisationUse } from './organisationUse';
import { createRankTargetFinder, readPoolLoad, type PoolLoadOptions } from './poolLoad';
import { createRefusedRequests } from './refusedRequests';
import type { AdmissionResult, RankedRequest, ScarcityRequest, WaitEnd } from './scarcityTypes';
import { createServiceAdmission, type ServiceAdmission } from './serviceAdmission';

/** Admits requests of services whose routes differ in rank. */
export interface ScarcityAdmission {
  /** Decides on a request. If it has to wait, `handleEnd` is called when the wait ends. */
  readonly admit: (request: ScarcityRequest, handleEnd: (end: WaitEnd) => void) => AdmissionResult;
  /** Whether the pool has room for larger models than the smallest one, for requests of a rank. */
  readonly hasRoomForLarger: (request: RankedRequest) => boolean;
  /** Records that the loads of the other gateways were updated. */
  readonly recordExchange: () => void;
  /** Records that the loads of the other gateways are not known any more. */
  readonly recordExchangeLost: () => void;
  /** Decides again on the waiting requests, since the loads have changed. */
  readonly notify: () => void;
  readonly countWaiting: () => number;
  /** Removes what is out of date. */
  readonly expire: () => void;
}

/** Options of the admission under scarcity. */
export interface ScarcityAdmissionOptions extends PoolLoadOptions {
  readonly metrics: Pick<GatewayMetrics, 'admissions' | 'admissionWait'>;
  readonly log: Pick<Logger, 'info'>;
  /** Returns the monotonic time in milliseconds. */
  readonly readNow: () => number;
  readonly schedule: (delayMs: number, run: () => void) => void;
}

/** Time between two decisions on the waiting requests, in milliseconds. */
const POLL_MS = 20;

/** Creates the admission under scarcity. It is in force only where the ranks of routes differ. */
export const createScarcityAdmission = (options: ScarcityAdmissionOptions): ScarcityAdmission => {
  const { metrics, log, readNow, schedule, registry, loads } = options;
  const findTargets = createRankTargetFinder();
  const use = createOrganisationUse();
  const refused = createRefusedRequests();
  const records = createAdmissionRecords({ metrics, log, refused });
  const services = new Map<string, ServiceAdmission>();
  let exchangedAt = -Infinity;
  let isPolling = false;
  let isDeciding = false;

  const acquireService = (service: string): ServiceAdmission => {
    const known = services.get(service);
    if (known) return known;
    const readLoadAgeMs = (): number => readNow() - exchangedAt;
    const common = { registry, loads, use, refused, records };
    const created = createServiceAdmission({ ...common, readNow, readLoadAgeMs });
    services.set(service, created);
    return created;
  };

  // The end of a wait can change the loads and so call this function again.
  const notify = (): void => {
    if (isDeciding) return;
    isDeciding = true;
    try {
      services.forEach((service) => {
        if (service.countWaiting() > 0) service.advance();
      });
    } finally {
      isDeciding = false;
    }
  };

  const countWaiting = (): number =>
    [...services.values()].reduce((sum, service) => sum + service.countWaiting(), 0);

  const schedulePoll = (): void => {
    if (isPolling) return;
    isPolling = true;
    schedule(POLL_MS, () => {
      isPolling = false;
      try {
        notify();
      } catch (cause) {
        const { message } = convertToRouterError(cause, 'gateway.admission');
        log.info({ err: message }, 'decision on waiting requests failed; deciding again');
      }
      if (countWaiting() > 0) schedulePoll();
    });
  };

  return {
    admit: (request, handleEnd) => {
      const targets = findTargets(request.table, request.service);
      if (!targets) return { type: 'run' };
      const result = acquireService(request.service).admit(request, targets, handleEnd);
      if (result.type === 'wait') schedulePoll();
      return result;
    },
    hasRoomForLarger: ({ service, table, route, rank, gatewayCount }) => {
      const targets = findTargets(table, service);
      if (!targets) return true;
      const now = readNow();
      const peers = { ageMs: now - exchangedAt, gatewayCount };
      const { pendingMs } = readPoolLoad({ registry, loads }, service, peers, now);
      return hasRoomForLarger(rank, route.targetLatencyMs, targets, pendingMs);
    },
    recordExchange: () => {
      exchangedAt = readNow();
      notify();
    },
    recordExchangeLost: () => {
      exchangedAt = -Infinity;
    },
    notify,
    countWaiting,
    expire: () => use.expire(readNow()),
  };
};
