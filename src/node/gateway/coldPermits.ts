import {
  computePermitRetryMs,
  computePermitTerms,
  computeWantedPermits,
  type ColdBounds,
  type PermitTerms,
} from '../decisions';
import type { Logger } from '../log';
import { formatIncarnation, type EndpointReport, type KnownEndpoint } from '../registry';
import type { ColdStart } from '../routing';
import {
  MAX_COLD_ENDPOINTS,
  type ShareColdAnswer,
  type ShareColdParams,
  type SharedDoubt,
} from '../routingControl';
import { createColdFreshness } from './coldFreshness';
import { createColdStates, type ColdStates } from './coldStates';
import type { GatewayMetrics } from './gatewayMetrics';
import type { ClockReading, LeaseClock } from './leaseClock';
import { createReturnedZones } from './returnedZones';

/**
 * What became of a request that no warm endpoint could serve in time: a permit was left for it, or
 * none was and it is refused or late.
 */
export type ColdShortage = 'permitted' | 'refused' | 'late';

/**
 * The permits with which this gateway may send to endpoints that are not known to be warm. Times are
 * monotonic, in milliseconds.
 */
export interface ColdPermits {
  /** Whether requests to an endpoint need no permit now. */
  readonly isWarm: (endpoint: EndpointReport, now: number) => boolean;
  /** Whether a request may be sent to an endpoint now. */
  readonly canSend: (endpoint: EndpointReport, now: number) => boolean;
  /**
   * Uses up the permit for a request that is sent. The result tells, once the connection is
   * established, whether the request may still be written to it.
   */
  readonly recordSent: (endpoint: EndpointReport, now: number) => () => boolean;
  /** Records a request that no warm endpoint could serve in time. */
  readonly recordDemand: (service: string, shortage: ColdShortage, now: number) => void;
  /** Computes when a permit is probably left for a refused request, in milliseconds from now. */
  readonly computeRetryMs: (service: string, now: number) => number;
  /** Records that a connection to an endpoint was lost, or could not be established. */
  readonly recordLoss: (endpoint: EndpointReport, now: number) => void;
  /** Notices pauses of this process and zones that have returned. */
  readonly check: (now: number) => void;
  /** Creates the report to the control host; undefined if the deployment sets no bounds. */
  readonly createReport: (now: number) => ShareColdParams | undefined;
  /** Applies the answer to a report; `calledAt` was read before the call. */
  readonly applyAnswer: (answer: ShareColdAnswer, calledAt: ClockReading, now: number) => void;
  /** Keeps the doubts of a call that failed for the next one. */
  readonly restoreDoubts: (doubts: readonly SharedDoubt[], now: number) => void;
}

/** Options of the permits. */
export interface ColdPermitsOptions {
  /** Undefined if the deployment sets none; cold endpoints are then sent any rate. */
  readonly bounds: ColdBounds | undefined;
  readonly log: Logger;
  readonly metrics: Pick<GatewayMetrics, 'coldPermits'>;
  readonly clock: LeaseClock;
  readonly listServices: () => readonly string[];
  readonly findColdStart: (service: string) => ColdStart | undefined;
  readonly listEndpoints: (service: string) => readonly KnownEndpoint[];
  /** Asks for every report of these endpoints from now on, and of no others. */
  readonly updateFollowed: (ids: readonly string[]) => void;
  /** Returns the number of gateways that share the endpoints, including this one. */
  readonly countGateways: () => number;
  /** Returns the zones that are evacuated; undefined while the gateway has no lease. */
  readonly readEvacuatedZones: () => ReadonlySet<string> | undefined;
}

/** Requests of this time show what a gateway needs, in milliseconds. */
const DEMAND_WINDOW_MS = 1_000;
/** Bounds the times that are kept for each service. */
const MAX_DEMAND = 1_000;
/** A doubt that could not be shared for this time is known from reports by now, in milliseconds. */
const MAX_DOUBT_AGE_MS = 6_000;

const createDemandCounter = () => {
  const times = new Map<string, readonly number[]>();
  return {
    record: (service: string, now: number): void => {
      times.set(service, [...(times.get(service) ?? []).slice(-MAX_DEMAND), now]);
    },
    /** Counts the requests per second for a service. */
    count: (service: string, now: number): number =>
      (times.get(service) ?? []).filter((at) => now - at <= DEMAND_WINDOW_MS).length /
      (DEMAND_WINDOW_MS / 1_000),
  };
};

const addDoubts = (
  newDoubts: Map<string, number>,
  doubts: readonly SharedDoubt[],
  now: number,
): void =>
  doubts
    .filter(({ ageMs }) => ageMs < MAX_DOUBT_AGE_MS)
    .forEach(({ endpoint, ageMs }) =>
      newDoubts.set(endpoint, Math.max(now - ageMs, newDoubts.get(endpoint) ?? -Infinity)),
    );

const canAlwaysSend = (): boolean => true;

const createTermsFinder = ({
  bounds,
  findColdStart,
}: Pick<ColdPermitsOptions, 'bounds' | 'findColdStart'>) => {
  const termsByColdStart = new WeakMap<ColdStart, PermitTerms>();
  // Asked for every endpoint of every choice.
  return (service: string): PermitTerms | undefined => {
    const coldStart = bounds && findColdStart(service);
    if (!bounds || !coldStart) return undefined;
    const known = termsByColdStart.get(coldStart);
    if (known) return known;
    const created = computePermitTerms({ ...coldStart, ...bounds });
    termsByColdStart.set(coldStart, created);
    return created;
  };
};

const expirePermits = (
  permits: Map<string, readonly ClockReading[]>,
  clock: Pick<LeaseClock, 'computeElapsedMs'>,
): void => {
  for (const [id, held] of permits) {
    if (held.every((calledAt) => clock.computeElapsedMs(calledAt) > DEMAND_WINDOW_MS)) {
      permits.delete(id);
    }
  }
};

const createDoubtRecorder =
  (states: Pick<ColdStates, 'recordLoss'>, listEndpoints: ColdPermitsOptions['listEndpoints']) =>
  (endpoint: EndpointReport, now: number): void => {
    const known = listEndpoints(endpoint.service).map(({ report }) => report);
    const reports = known.filter(({ id }) => id === endpoint.id);
    states.recordLoss(endpoint, reports, now);
  };

/** Creates a table without permits. */
export const createColdPermits = (options: ColdPermitsOptions): ColdPermits => {
  const { bounds, log, metrics, clock, listEndpoints } = options;
  const states = createColdStates(log);
  const freshness = createColdFreshness(clock, log);
  const demand = createDemandCounter();
  const findTerms = createTermsFinder(options);
  /** When this gateway called for each permit that it holds, in order, by endpoint id. */
  const permits = new Map<string, readonly ClockReading[]>();
  /** Times of the doubts that the other gateways do not know, by incarnation. */
  const newDoubts = new Map<string, number>();
  let leaderTerm: number | undefined;

  const recordDoubt = createDoubtRecorder(states, listEndpoints);
  const returnedZones = createReturnedZones({ ...options, recordDoubt });

  const isKnownWarm = (endpoint: EndpointReport, now: number): boolean => {
    returnedZones.record(now);
    return freshness.isCurrent(now) && states.isWarm(endpoint, now);
  };

  const listValid = (id: string, { lifetimeMs }: PermitTerms): readonly ClockReading[] =>
    (permits.get(id) ?? []).filter((calledAt) => clock.computeElapsedMs(calledAt) < lifetimeMs);

  const listCold = (service: string, now: number): readonly EndpointReport[] =>
    listEndpoints(service)
      .filter(({ isReady, report }) => isReady && !isKnownWarm(report, now))
      .map(({ report }) => report);

  const listWanted = (service: string, now: number): ShareColdParams['wanted'] => {
    const terms = findTerms(service);
    const requestsPerSecond = demand.count(service, now);
    if (!terms || requestsPerSecond === 0) return [];
    const cold = listCold(service, now);
    return cold.flatMap((report) => {
      const endpoint = report.id;
      const held = listValid(endpoint, terms).length;
      const need = { requestsPerSecond, endpoints: cold.length, held };
      const wanted = computeWantedPermits(need, terms);
      return wanted > 0 ? [{ endpoint, service, permits: wanted }] : [];
    });
  };

  const expire = (now: number): void => {
    states.expire(now);
    expirePermits(permits, clock);
  };

  const isWarm = (endpoint: EndpointReport, now: number): boolean =>
    findTerms(endpoint.service) === undefined || isKnownWarm(endpoint, now);

  return {
    isWarm,
    canSend: (endpoint, now) => {
      const terms = findTerms(endpoint.service);
      if (!terms || isKnownWarm(endpoint, now)) return true;
      return listValid(endpoint.id, terms).length > 0;
    },
    recordSent: (endpoint, now) => {
      const terms = findTerms(endpoint.service);
      if (!terms || isKnownWarm(endpoint, now)) return canAlwaysSend;
      const [used, ...left] = listValid(endpoint.id, terms);
      permits.set(endpoint.id, left);
      if (used) metrics.coldPermits.inc({ service: endpoint.service, step: 'used' });
      return () => used !== undefined && clock.computeElapsedMs(used) < terms.lifetimeMs;
    },
    recordDemand: (service, shortage, now) => {
      if (!findTerms(service)) return;
      if (shortage !== 'permitted') metrics.coldPermits.inc({ service, step: 'refused' });
      demand.record(service, now);
    },
    computeRetryMs: (service, now) => {
      const terms = findTerms(service);
      if (!terms) return 0;
      const shortage = {
        requestsPerSecond: demand.count(service, now),
        endpoints: listCold(service, now).length,
        gateways: options.countGateways(),
      };
      return Math.round(computePermitRetryMs(shortage, terms));
    },
    recordLoss: (endpoint, now) => {
      if (!findTerms(endpoint.service)) return;
      recordDoubt(endpoint, now);
      newDoubts.set(formatIncarnation(endpoint), now);
    },
    check: (now) => {
      if (!bounds) return;
      freshness.check(now);
      returnedZones.record(now);
    },
    createReport: (now) => {
      if (!bounds) return undefined;
      freshness.check(now);
      const services = options.listServices();
      const endpoints = services.flatMap(listEndpoints);
      states.recordEndpoints(endpoints, now);
      // Otherwise a gateway does not hear of the reports of a doubted endpoint that is still warm.
      const doubted = endpoints.filter(({ report }) => states.isDoubted(report));
      options.updateFollowed(doubted.map(({ report }) => report.id));
      expire(now);
      const doubts = [...newDoubts].map(([endpoint, at]) => ({ endpoint, ageMs: now - at }));
      newDoubts.clear();
      const wanted = services
        .flatMap((service) => listWanted(service, now))
        .slice(0, MAX_COLD_ENDPOINTS);
      wanted.forEach((item) =>
        metrics.coldPermits.inc({ service: item.service, step: 'asked' }, item.permits),
      );
      return { wanted, doubts: doubts.slice(-MAX_COLD_ENDPOINTS) };
    },
    applyAnswer: ({ granted, doubts, leader }, calledAt, now) => {
      freshness.check(now);
      freshness.recordAnswer(leader, calledAt);
      if (leader && leader.term !== leaderTerm) {
        leaderTerm = leader.term;
        addDoubts(newDoubts, states.listDoubts(now), now);
      }
      granted.forEach(({ endpoint, service, permits: count }) => {
        const terms = findTerms(service);
        if (!terms) return;
        metrics.coldPermits.inc({ service, step: 'given' }, count);
        const added = Array.from({ length: count }, () => calledAt);
        permits.set(endpoint, [...listValid(endpoint, terms), ...added]);
      });
      doubts.forEach((doubt) => states.recordPeerDoubt(doubt, now));
    },
    restoreDoubts: (doubts, now) => addDoubts(newDoubts, doubts, now),
  };
};
