import {
  chooseServiceVersion,
  chooseWeightedService,
  computeBackoffRetryMs,
  createPrefillRates,
  placeEngineRequest,
  placeRequest,
  type Placement,
  type PromptPrefill,
  type PrefillRates,
  type VersionReason,
} from '../decisions';
import { formatIncarnation, type EndpointReport } from '../registry';
import type { EngineProfile, RolloutStage, Route } from '../routing';
import type { ColdPermits, ColdShortage } from './coldPermits';
import { createPromptKey, type PrefixCacheEstimates } from './prefixCacheEstimates';
import type { EndpointLimits } from './endpointLimits';
import { chooseQueuePosition } from './queuePosition';
import type { EndpointLoads } from './endpointLoads';
import type { EndpointBackoffs } from './endpointBackoffs';
import type { RegistryView } from './registryView';
import { formatRolloutKey, type RoutingSnapshot } from './routingView';
import { createServiceSpeeds, type ServiceSpeeds } from './serviceSpeeds';
import type { SessionVersions } from './sessionVersions';
import type { CallerHeaders } from './types';

/** The inputs for choosing an endpoint for a request. */
export interface ChoiceRequest {
  readonly route: Route;
  readonly caller: CallerHeaders;
  /** Model to run; undefined for a service without models. */
  readonly model: string | undefined;
  /** Milliseconds left within the target latency; negative when it is exceeded. */
  readonly timeLeftMs: number;
  /** Endpoints that were already tried for this request. */
  readonly tried: ReadonlySet<string>;
  /** Urgency of the request, 0 is the most urgent. */
  readonly rank: number;
  /** Engine priority of an earlier attempt, if there was one. */
  readonly earlierPriority?: number | undefined;
}

/** Why a request runs on its version, with the inputs of that decision, for the log. */
export interface VersionBasis {
  readonly reason: VersionReason;
  /** Whether no endpoint of the preferred version was available, so that another version answers. */
  readonly isFallback?: boolean;
  /** Stage of the service's roll-out, and milliseconds since it started. */
  readonly rolloutStage?: RolloutStage;
  readonly rolloutAgeMs?: number;
  /** Recorded version of the session, and the age of that record in milliseconds. */
  readonly sessionVersion?: string;
  readonly sessionAgeMs?: number;
}

interface PlacedEndpoint {
  readonly type: 'placed';
  readonly endpoint: EndpointReport;
  readonly reason: string;
  /** Predicted time to the first token in milliseconds; 0 for a service without an engine. */
  readonly predictedMs: number;
  /** Prefill time of the prompts queued ahead, in milliseconds. */
  readonly queueMs: number;
  /**
   * Prompt tokens that are probably not in the endpoint's prefix cache, and their prefill time in
   * milliseconds.
   */
  readonly uncachedTokens: number;
  readonly prefillMs: number;
  /** Prefill time of the prompts that this one goes before, in milliseconds. */
  readonly displacedMs?: number;
  /** Priority in the queue of an engine; undefined for a service without engines. */
  readonly priority?: number | undefined;
}

type RefusedPlacement = Extract<Placement, { readonly type: 'refused' }>;

type EndpointPlacement = PlacedEndpoint | RefusedPlacement;

interface ColdPlacement {
  /** What became of the request if no warm endpoint could serve it in time. */
  readonly coldShortage?: ColdShortage;
}

/** The endpoint chosen for a request, or why the request is refused. */
export type EndpointChoice = ColdPlacement &
  ((PlacedEndpoint & { readonly versionBasis: VersionBasis }) | RefusedPlacement);

/** Options of an endpoint chooser. */
export interface ChooserOptions {
  readonly zone: string;
  readonly sessionMs: number;
  readonly exposureShare: number;
  /** Whether requests for engines get a priority; without one, engines go by arrival. */
  readonly hasPriorities?: boolean;
  readonly registry: Pick<RegistryView, 'listEndpoints'>;
  readonly loads: EndpointLoads;
  readonly sessions: SessionVersions;
  readonly limits: Pick<EndpointLimits, 'canSend'>;
  readonly coldPermits: Pick<ColdPermits, 'isWarm' | 'canSend' | 'computeRetryMs'>;
  readonly backoffs: Pick<EndpointBackoffs, 'findEnd'>;
  readonly cacheEstimates: PrefixCacheEstimates;
  /** Relative speeds of the endpoints; empty at first if absent. */
  readonly speeds?: ServiceSpeeds;
}

/** Chooses endpoints; `now` is monotonic time in milliseconds. */
export interface EndpointChooser {
  readonly choose: (
    snapshot: RoutingSnapshot,
    request: ChoiceRequest,
    now: number,
  ) => EndpointChoice;
  /** Records that a request was sent to an endpoint. */
  readonly recordSent: (
    snapshot: RoutingSnapshot,
    request: Pick<ChoiceRequest, 'caller' | 'model'>,
    sentTo: EndpointReport,
  ) => void;
  /** Records the measured time to a first token, in milliseconds. */
  readonly recordFirstToken: (
    snapshot: RoutingSnapshot,
    prefill: PromptPrefill & { readonly endpoint: EndpointReport; readonly model: string },
    delayMs: number,
    now: number,
  ) => void;
  readonly recordEventGap: ServiceSpeeds['recordEventGap'];
  /** Records the measured time of an answer without a stream, in milliseconds. */
  readonly recordAnswer: (
    snapshot: RoutingSnapshot,
    run: { readonly endpoint: EndpointReport; readonly route: string },
    timeMs: number,
    now: number,
  ) => void;
}

/** Chooses the service of a request by the weights of its route. */
export const chooseService = (
  route: Route,
  { session, requestId }: Pick<CallerHeaders, 'session' | 'requestId'>,
): string => chooseWeightedService(route.targets, session ?? requestId);

// The last block is specific to the request or its session. The block before it is the last shared
// one.
const formatAffinity = ({ caller, model }: ChoiceRequest): string => {
  const { promptBlocks } = caller;
  const shared = promptBlocks.at(-2) ?? promptBlocks.at(-1);
  return shared ? `${model ?? ''}|${shared.id}` : '';
};

const findEngine = (snapshot: RoutingSnapshot, service: string): EngineProfile | undefined =>
  snapshot.table.findService(service)?.engine;

interface RateTable {
  readonly acquire: (service: string, engine: EngineProfile) => PrefillRates;
  readonly recordFirstToken: EndpointChooser['recordFirstToken'];
}

const createRateTable = (speeds: ServiceSpeeds): RateTable => {
  const rates = new Map<string, PrefillRates>();
  const acquire: RateTable['acquire'] = (service, { models }) => {
    const known = rates.get(service);
    if (known) return known;
    const created = createPrefillRates(models, speeds.acquire(service).prefill);
    rates.set(service, created);
    return created;
  };
  return {
    acquire,
    recordFirstToken: (snapshot, { endpoint, model, ...prefill }, delayMs, now) => {
      const engine = findEngine(snapshot, endpoint.service);
      const at = { incarnation: formatIncarnation(endpoint), now };
      if (engine) acquire(endpoint.service, engine).record(model, prefill, delayMs, at);
    },
  };
};

const choosePlainEndpoint = (
  { loads, zone }: Pick<ChooserOptions, 'loads' | 'zone'>,
  speeds: ServiceSpeeds,
  request: ChoiceRequest,
  reports: readonly EndpointReport[],
  ejected: ReadonlySet<string>,
  now: number,
): EndpointPlacement => {
  const { answer } = speeds.acquire(reports[0]?.service ?? '');
  const unitMs = answer.readUnitMs(request.route.name);
  const placement = placeRequest({
    candidates: reports.map((report) => ({
      id: report.id,
      isOwnZone: report.zone === zone,
      slots: report.slots,
      running: loads.findTotal(report.id, now).running,
      expectedMs: unitMs * answer.readFactor(formatIncarnation(report), now),
      isWarmingUp: report.warmupMs > 0,
      isEjected: ejected.has(report.id),
    })),
    requestId: request.caller.requestId,
  });
  if (placement.type === 'refused') return placement;
  const endpoint = reports.find(({ id }) => id === placement.id)!;
  const { reason } = placement;
  const prefill = { predictedMs: 0, queueMs: 0, uncachedTokens: 0, prefillMs: 0 };
  return { type: 'placed', endpoint, reason, ...prefill };
};

/** Most pending prefill work with which the time per event is recorded, in milliseconds. */
const MAX_GAP_QUEUE_MS = 50;

// Prefill steps of other requests make the events of a busy endpoint late, whatever its speed.
const createGapRecorder =
  (speeds: ServiceSpeeds, loads: EndpointLoads): ServiceSpeeds['recordEventGap'] =>
  (run, gapMs, now) => {
    if (loads.findTotal(run.endpoint.id, now).readMs > MAX_GAP_QUEUE_MS) return;
    speeds.recordEventGap(run, gapMs, now);
  };

// Requests beyond the slots wait, which says nothing about the speed.
const createAnswerRecorder =
  (speeds: ServiceSpeeds, loads: EndpointLoads): EndpointChooser['recordAnswer'] =>
  (snapshot, { endpoint, route }, timeMs, now) => {
    if (findEngine(snapshot, endpoint.service)) return;
    const { running } = loads.findTotal(endpoint.id, now);
    const unitMs = timeMs / Math.max(1, running / Math.max(1, endpoint.slots));
    const sample = { endpoint: formatIncarnation(endpoint), kind: route, unitMs };
    speeds.acquire(endpoint.service).answer.record(sample, now);
  };

interface VersionCandidates {
  readonly reports: readonly EndpointReport[];
  /** Whether endpoints were left out because their zones are evacuated. */
  readonly hasEvacuated: boolean;
  readonly versionBasis: VersionBasis;
}

const listReady = (
  registry: Pick<RegistryView, 'listEndpoints'>,
  { evacuatedZones }: RoutingSnapshot,
  service: string,
  tried: ReadonlySet<string>,
) => {
  const known = registry
    .listEndpoints(service)
    .filter(({ isReady, report }) => isReady && !tried.has(report.id))
    .map(({ report }) => report);
  return {
    ready: known.filter(({ zone }) => !evacuatedZones.has(zone)),
    evacuated: known.filter(({ zone }) => evacuatedZones.has(zone)),
  };
};

/** Retry time of a request that no endpoint has a token for; the next ones may have come by then. */
const LIMIT_RETRY_MS = 500;

const LIMITS_REACHED: RefusedPlacement = {
  type: 'refused',
  reason: 'all endpoints have reached their request limits',
  retryAfterMs: LIMIT_RETRY_MS,
};

/**
 * Retry time of a request whose endpoints are all in evacuated zones. When an evacuation ends is not
 * known; new endpoints elsewhere may have reported by then.
 */
const EVACUATED_RETRY_MS = 500;

const ZONES_EVACUATED: RefusedPlacement = {
  type: 'refused',
  reason: 'all endpoints are in evacuated zones',
  retryAfterMs: EVACUATED_RETRY_MS,
};

const createBackoffRefusal = (
  ends: readonly (number | undefined)[],
  now: number,
): RefusedPlacement => ({
  type: 'refused',
  reason: 'all endpoints have asked for a back-off',
  retryAfterMs: computeBackoffRetryMs(
    ends.filter((end) => end !== undefined),
    now,
  ),
});

/**
 * Places a request at a warm endpoint if one serves it in time, otherwise also at the cold ones that
 * a permit is left for. Permits are not kept to fill the prefix caches of cold endpoints.
 */
const placeWithPermits = (
  { isWarm, canSend, computeRetryMs }: ChooserOptions['coldPermits'],
  reports: readonly EndpointReport[],
  { timeLeftMs }: ChoiceRequest,
  now: number,
  place: (candidates: readonly EndpointReport[]) => EndpointPlacement,
): EndpointPlacement & ColdPlacement => {
  const warm = reports.filter((report) => isWarm(report, now));
  if (warm.length === reports.length) return place(reports);
  const atWarm = place(warm);
  if (atWarm.type === 'placed' && atWarm.predictedMs <= timeLeftMs) return atWarm;
  const usable = reports.filter((report) => canSend(report, now));
  if (usable.length > warm.length) return { ...place(usable), coldShortage: 'permitted' };
  if (warm.length > 0) {
    return { ...atWarm, coldShortage: atWarm.type === 'placed' ? 'late' : 'refused' };
  }
  return {
    type: 'refused',
    reason: 'all endpoints are cold or may be, and no permit is left',
    retryAfterMs: computeRetryMs(reports[0]!.service, now),
    coldShortage: 'refused',
  };
};

/** What is known about the speeds of the engines. */
interface EngineKnowledge {
  readonly rates: ReturnType<typeof createRateTable>;
  readonly speeds: ServiceSpeeds;
}

const chooseEngineEndpoint = (
  { zone, loads, cacheEstimates, hasPriorities }: ChooserOptions,
  { rates, speeds }: EngineKnowledge,
  snapshot: RoutingSnapshot,
  request: ChoiceRequest,
  reports: readonly EndpointReport[],
  ejected: ReadonlySet<string>,
  now: number,
): EndpointPlacement => {
  const { promptBlocks, promptTokens, model: requestedModel } = request.caller;
  const model = request.model ?? requestedModel ?? '';
  const service = reports[0]?.service ?? '';
  const engine = findEngine(snapshot, service);
  const rate = engine && rates.acquire(service, engine);
  const { decode } = speeds.acquire(service);
  const prompt = createPromptKey(model, promptBlocks);
  const placement = placeEngineRequest({
    candidates: reports.map((report) => {
      const load = loads.findTotal(report.id, now);
      const { shared: uncachedPrefixTokens, total: uncachedTokens } = cacheEstimates.countUncached(
        report.id,
        prompt,
      );
      const at = { incarnation: formatIncarnation(report), now };
      const prefillMs = rate?.estimate(model, { uncachedTokens, promptTokens }, at) ?? 0;
      return {
        id: report.id,
        endpoint: report,
        isOwnZone: report.zone === zone,
        slots: report.slots,
        running: load.running,
        ...chooseQueuePosition(load, request, prefillMs, hasPriorities),
        prefillMs,
        stepFactor: decode.readFactor(at.incarnation, now),
        uncachedPrefixTokens,
        uncachedTokens,
        isWarmingUp: report.warmupMs > 0,
        isEjected: ejected.has(report.id),
      };
    }),
    affinity: formatAffinity(request),
    timeLeftMs: request.timeLeftMs,
    pauseTargetMs: request.route.gapTargetMs,
  });
  if (placement.type === 'refused') return placement;
  const { candidate, predictedMs } = placement;
  const { endpoint, queueMs, uncachedTokens, prefillMs, priority, displacedMs } = candidate;
  const reason = 'prefix cache and predicted first token';
  const prefill = { predictedMs, queueMs, uncachedTokens, prefillMs, priority, displacedMs };
  return { type: 'placed', endpoint, reason, ...prefill };
};

/** Creates an endpoint chooser that uses this gateway's view of endpoints and loads. */
export const createEndpointChooser = (options: ChooserOptions): EndpointChooser => {
  const { sessionMs, exposureShare, registry, loads, sessions, cacheEstimates } = options;
  const { speeds = createServiceSpeeds() } = options;
  const rates = createRateTable(speeds);

  const listByVersion = (
    snapshot: RoutingSnapshot,
    request: ChoiceRequest,
    service: string,
    now: number,
  ): VersionCandidates => {
    const { caller, tried } = request;
    const { ready, evacuated } = listReady(registry, snapshot, service, tried);
    const rollout = snapshot.rollouts.find((item) => item.service === service);
    const startedAt = rollout && snapshot.rolloutStartedAt.get(formatRolloutKey(rollout));
    const session =
      caller.session === undefined ? undefined : sessions.find(service, caller.session, now);
    const choice = chooseServiceVersion({
      rollout,
      retired: snapshot.retired
        .filter((item) => item.service === service)
        .map((item) => item.version),
      hashKey: caller.session ?? caller.requestId,
      sessionVersion: session?.version,
      mayPredateRollout:
        caller.session !== undefined && startedAt !== undefined && now - startedAt < sessionMs,
      exposureShare,
    });
    const preferred = ready.filter(({ version }) => choice.isPreferred(version));
    const isFallback = preferred.length === 0;
    return {
      reports: isFallback ? ready.filter(({ version }) => choice.isAllowed(version)) : preferred,
      hasEvacuated: evacuated.some(({ version }) => choice.isAllowed(version)),
      versionBasis: {
        reason: choice.reason,
        isFallback,
        rolloutStage: rollout?.stage,
        rolloutAgeMs: startedAt === undefined ? undefined : now - startedAt,
        sessionVersion: session?.version,
        sessionAgeMs: session?.ageMs,
      },
    };
  };

  return {
    choose: (snapshot, request, now) => {
      const { route, caller } = request;
      const service = chooseService(route, caller);
      const candidates = listByVersion(snapshot, request, service, now);
      const { reports: allowed, versionBasis } = candidates;
      if (allowed.length === 0 && candidates.hasEvacuated) return ZONES_EVACUATED;
      // Limits and back-offs must not move a session to another version, so they count only among these.
      const backoffEnds = allowed.map((report) => options.backoffs.findEnd(report, now));
      const available = allowed.filter((_report, index) => backoffEnds[index] === undefined);
      const reports = available.filter((report) => options.limits.canSend(report, now));
      if (allowed.length > 0 && available.length === 0)
        return createBackoffRefusal(backoffEnds, now);
      if (available.length > 0 && reports.length === 0) return LIMITS_REACHED;
      const ids = reports.map(({ id }) => id);
      const ejected = loads.listEjected(ids, now);
      const isEngine =
        findEngine(snapshot, service) !== undefined && caller.promptBlocks.length > 0;
      const place = (usable: readonly EndpointReport[]): EndpointPlacement =>
        isEngine
          ? chooseEngineEndpoint(
              options,
              { rates, speeds },
              snapshot,
              request,
              usable,
              ejected,
              now,
            )
          : choosePlainEndpoint(options, speeds, request, usable, ejected, now);
      const placement = placeWithPermits(options.coldPermits, reports, request, now, place);
      return placement.type === 'placed' ? { ...placement, versionBasis } : placement;
    },
    recordSent: (snapshot, { caller, model }, { id, service }) => {
      const engine = findEngine(snapshot, service);
      const name = model ?? caller.model;
      if (!engine || name === undefined) return;
      cacheEstimates.record(id, name, caller.promptBlocks);
    },
    recordFirstToken: rates.recordFirstToken,
    recordEventGap: createGapRecorder(speeds, loads),
    recordAnswer: createAnswerRecorder(speeds, loads),
  };
};
