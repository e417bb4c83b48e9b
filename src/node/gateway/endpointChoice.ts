import {
  chooseServiceVersion,
  chooseWeightedService,
  createPrefillRates,
  placeEngineRequest,
  placeRequest,
  type Placement,
  type PromptPrefill,
  type PrefillRates,
} from '../decisions';
import type { EndpointReport } from '../registry';
import type { EngineProfile, Route } from '../routing';
import { createPromptKey, type PrefixCacheEstimates } from './prefixCacheEstimates';
import type { EndpointLoads } from './endpointLoads';
import type { RegistryView } from './registryView';
import { formatRolloutKey, type RoutingSnapshot } from './routingView';
import type { SessionVersions } from './sessionVersions';
import type { CallerHeaders } from './types';

/** What a request needs an endpoint for. */
export interface ChoiceRequest {
  readonly route: Route;
  readonly caller: CallerHeaders;
  /** Model that shall run; undefined for a plain service. */
  readonly model: string | undefined;
  /** Milliseconds left until an answer would be late. */
  readonly timeLeftMs: number;
  /** Endpoints that this request has been sent to. */
  readonly tried: ReadonlySet<string>;
}

/** The endpoint that a request goes to, or why it goes nowhere. */
export type EndpointChoice =
  | {
      readonly type: 'placed';
      readonly endpoint: EndpointReport;
      readonly reason: string;
      /** Time to the first token as predicted, in milliseconds; 0 at a plain service. */
      readonly predictedMs: number;
      /** Reading of other prompts that is ahead, in milliseconds. */
      readonly queueMs: number;
      /** Tokens of the prompt that the endpoint has likely not read yet, and the time for them. */
      readonly uncachedTokens: number;
      readonly prefillMs: number;
    }
  | Extract<Placement, { readonly type: 'refused' }>;

/** Parts of a chooser. */
export interface ChooserOptions {
  readonly zone: string;
  readonly sessionMs: number;
  readonly exposureShare: number;
  readonly registry: RegistryView;
  readonly loads: EndpointLoads;
  readonly sessions: SessionVersions;
  readonly cacheEstimates: PrefixCacheEstimates;
}

/** Chooses endpoints; `now` is steady time in milliseconds. */
export interface EndpointChooser {
  readonly choose: (facts: RoutingSnapshot, request: ChoiceRequest, now: number) => EndpointChoice;
  /** Takes note that a request was sent to the endpoint chosen for it. */
  readonly recordSent: (
    facts: RoutingSnapshot,
    request: Pick<ChoiceRequest, 'caller' | 'model'>,
    sentTo: EndpointReport,
  ) => void;
  /** Takes note of the delay of a first token, in milliseconds. */
  readonly recordFirstToken: (
    facts: RoutingSnapshot,
    read: PromptPrefill & { readonly service: string; readonly model: string },
    delayMs: number,
  ) => void;
}

// The last part belongs to the request or its session; what it shares with others is the one before.
const formatAffinity = ({ caller, model }: ChoiceRequest): string => {
  const { promptBlocks: parts } = caller;
  const shared = parts.at(-2) ?? parts.at(-1);
  return shared ? `${model ?? ''}|${shared.id}` : '';
};

interface RateTable {
  readonly acquire: (service: string, engine: EngineProfile) => PrefillRates;
}

const createRateTable = (): RateTable => {
  const rates = new Map<string, PrefillRates>();
  return {
    acquire: (service, { models }) => {
      const known = rates.get(service);
      if (known) return known;
      const created = createPrefillRates(models);
      rates.set(service, created);
      return created;
    },
  };
};

const findEngine = (facts: RoutingSnapshot, service: string): EngineProfile | undefined =>
  facts.table.findService(service)?.engine;

const choosePlainEndpoint = (
  { loads, zone }: Pick<ChooserOptions, 'loads' | 'zone'>,
  request: ChoiceRequest,
  reports: readonly EndpointReport[],
  ejected: ReadonlySet<string>,
  now: number,
): EndpointChoice => {
  const placement = placeRequest({
    candidates: reports.map((report) => ({
      id: report.id,
      isOwnZone: report.zone === zone,
      slots: report.slots,
      running: loads.findTotal(report.id, now).running,
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

/** Creates a chooser over this gateway's view. */
export const createEndpointChooser = (options: ChooserOptions): EndpointChooser => {
  const {
    zone,
    sessionMs,
    exposureShare,
    registry,
    loads,
    sessions,
    cacheEstimates: beliefs,
  } = options;
  const rates = createRateTable();

  const listByVersion = (
    facts: RoutingSnapshot,
    request: ChoiceRequest,
    service: string,
    now: number,
  ): readonly EndpointReport[] => {
    const { caller, tried } = request;
    const ready = registry
      .listEndpoints(service)
      .filter(({ isReady, report }) => isReady && !tried.has(report.id))
      .map(({ report }) => report);
    const rollout = facts.rollouts.find((item) => item.service === service);
    const seenAt = rollout && facts.rolloutSeenAt.get(formatRolloutKey(rollout));
    const choice = chooseServiceVersion({
      rollout,
      retired: facts.retired.filter((item) => item.service === service).map((item) => item.version),
      hashKey: caller.session ?? caller.requestId,
      sessionVersion:
        caller.session === undefined ? undefined : sessions.find(service, caller.session, now),
      mayPredateRollout:
        caller.session !== undefined && seenAt !== undefined && now - seenAt < sessionMs,
      exposureShare,
    });
    const preferred = ready.filter(({ version }) => choice.isPreferred(version));
    return preferred.length > 0
      ? preferred
      : ready.filter(({ version }) => choice.isAllowed(version));
  };

  const chooseEngineEndpoint = (
    facts: RoutingSnapshot,
    request: ChoiceRequest,
    reports: readonly EndpointReport[],
    ejected: ReadonlySet<string>,
    now: number,
  ): EndpointChoice => {
    const { promptBlocks: parts, promptTokens, model: named } = request.caller;
    const model = request.model ?? named ?? '';
    const service = reports[0]?.service ?? '';
    const engine = findEngine(facts, service);
    const rate = engine && rates.acquire(service, engine);
    const prompt = createPromptKey(model, parts);
    const placement = placeEngineRequest({
      candidates: reports.map((report) => {
        const { running, readMs: queueMs } = loads.findTotal(report.id, now);
        const { shared: unreadShared, total: unreadTokens } = beliefs.countUncached(
          report.id,
          prompt,
        );
        return {
          id: report.id,
          endpoint: report,
          isOwnZone: report.zone === zone,
          slots: report.slots,
          running,
          queueMs,
          readMs: rate?.estimate(model, { unreadTokens, promptTokens }) ?? 0,
          unreadShared,
          unreadTokens,
          isWarmingUp: report.warmupMs > 0,
          isEjected: ejected.has(report.id),
        };
      }),
      affinity: formatAffinity(request),
      timeLeftMs: request.timeLeftMs,
    });
    if (placement.type === 'refused') return placement;
    const { endpoint, queueMs, unreadTokens, readMs } = placement.candidate;
    const { predictedMs } = placement;
    const reason = 'shared prompt and first token';
    return {
      type: 'placed',
      endpoint,
      reason,
      predictedMs,
      queueMs,
      uncachedTokens: unreadTokens,
      prefillMs: readMs,
    };
  };

  return {
    choose: (facts, request, now) => {
      const { route, caller } = request;
      const service = chooseWeightedService(route.targets, caller.session ?? caller.requestId);
      const reports = listByVersion(facts, request, service, now);
      const ids = reports.map(({ id }) => id);
      const ejected = loads.listEjected(ids, now);
      const isEngine = findEngine(facts, service) !== undefined && caller.promptBlocks.length > 0;
      return isEngine
        ? chooseEngineEndpoint(facts, request, reports, ejected, now)
        : choosePlainEndpoint(options, request, reports, ejected, now);
    },
    recordSent: (facts, { caller, model }, { id, service }) => {
      const engine = findEngine(facts, service);
      const name = model ?? caller.model;
      if (!engine || name === undefined) return;
      beliefs.record(id, name, caller.promptBlocks);
    },
    recordFirstToken: (facts, { service, model, ...reading }, delayMs) => {
      const engine = findEngine(facts, service);
      if (engine) rates.acquire(service, engine).record(model, reading, delayMs);
    },
  };
};
