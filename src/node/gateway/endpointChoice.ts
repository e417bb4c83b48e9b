import {
  chooseServiceVersion,
  chooseWeightedService,
  placeRequest,
  type Placement,
} from '../decisions';
import type { EndpointReport } from '../registry';
import type { Route } from '../routing';
import type { EndpointLoads } from './endpointLoads';
import type { RegistryView } from './registryView';
import { formatRollout, type RoutingFacts } from './routingView';
import type { SessionVersions } from './sessionVersions';
import type { CallerHeaders } from './types';

/** What a request needs an endpoint for. */
export interface ChoiceRequest {
  readonly route: Route;
  readonly caller: CallerHeaders;
  /** Model that shall run; undefined for a plain service. */
  readonly model: string | undefined;
  /** Endpoints that this request has been sent to. */
  readonly tried: ReadonlySet<string>;
}

/** The endpoint that a request goes to, or why it goes nowhere. */
export type EndpointChoice =
  | { readonly type: 'placed'; readonly endpoint: EndpointReport; readonly reason: string }
  | Extract<Placement, { readonly type: 'refused' }>;

/** Parts of a chooser. */
export interface ChooserOptions {
  readonly zone: string;
  readonly sessionMs: number;
  readonly exposureShare: number;
  readonly registry: RegistryView;
  readonly loads: EndpointLoads;
  readonly sessions: SessionVersions;
}

/** Chooses endpoints; `now` is steady time in milliseconds. */
export interface EndpointChooser {
  readonly choose: (facts: RoutingFacts, request: ChoiceRequest, now: number) => EndpointChoice;
}

// The last part belongs to the request or its session; what it shares with others is the one before.
const formatAffinity = ({ caller, model }: ChoiceRequest): string => {
  const { parts } = caller;
  const shared = parts.at(-2) ?? parts.at(-1);
  return shared ? `${model ?? ''}|${shared.id}` : '';
};

/** Creates a chooser over this gateway's view. */
export const createEndpointChooser = (options: ChooserOptions): EndpointChooser => {
  const { zone, sessionMs, exposureShare, registry, loads, sessions } = options;

  const listByVersion = (
    facts: RoutingFacts,
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
    const seenAt = rollout && facts.rolloutSeenAt.get(formatRollout(rollout));
    const choice = chooseServiceVersion({
      rollout,
      retired: facts.retired.filter((item) => item.service === service).map((item) => item.version),
      subject: caller.session ?? caller.requestId,
      sessionVersion:
        caller.session === undefined ? undefined : sessions.find(service, caller.session, now),
      mayBeOlder:
        caller.session !== undefined && seenAt !== undefined && now - seenAt < sessionMs,
      exposureShare,
    });
    const preferred = ready.filter(({ version }) => choice.isPreferred(version));
    return preferred.length > 0
      ? preferred
      : ready.filter(({ version }) => choice.isAllowed(version));
  };

  return {
    choose: (facts, request, now) => {
      const { route, caller } = request;
      const service = chooseWeightedService(route.targets, caller.session ?? caller.requestId);
      const reports = listByVersion(facts, request, service, now);
      const ejected = loads.listEjected(
        reports.map(({ id }) => id),
        now,
      );
      const placement = placeRequest({
        candidates: reports.map((report) => ({
          id: report.id,
          isOwnZone: report.zone === zone,
          slots: report.slots,
          running: loads.countRunning(report.id),
          isWarmingUp: report.warmupMs > 0,
          isEjected: ejected.has(report.id),
        })),
        affinity: formatAffinity(request),
        requestId: caller.requestId,
        gatewayCount: facts.gatewayCount,
      });
      if (placement.type === 'refused') return placement;
      const endpoint = reports.find(({ id }) => id === placement.id)!;
      return { type: 'placed', endpoint, reason: placement.reason };
    },
  };
};
