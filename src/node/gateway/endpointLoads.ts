import { createEndpointHealth, type RunOutcome } from '../decisions';
import { mergeEndpointLoads, type EndpointLoad } from '../routingControl';
import {
  createPendingPrefills,
  type PendingPrefills,
  type PredictedPrefill,
} from './pendingPrefill';

/** The load that one running request adds to an endpoint. */
export interface LoadEntry {
  /** Records that the prefill has finished. */
  readonly endPrefill: () => void;
  /** Records that the request has ended. */
  readonly release: () => void;
}

/** Tracks the load of each endpoint and the outcomes of this gateway's attempts. */
export interface EndpointLoads {
  /** Adds a request that was sent to an endpoint. */
  readonly add: (endpoint: string, prefill: PredictedPrefill) => LoadEntry;
  /**
   * Returns an endpoint's load from all gateways, to compare it with other endpoints. As the reports
   * of the other gateways become old, their prefill is replaced by the mean of all endpoints. `now` is
   * monotonic time in milliseconds.
   */
  readonly findTotal: (endpoint: string, now: number) => EndpointLoad;
  /** Returns the part of an endpoint's load that comes from this gateway. */
  readonly findOwn: (endpoint: string, now: number) => EndpointLoad;
  /**
   * Returns an endpoint's load from all gateways, as the other gateways last reported it. Sums over
   * the endpoints of a service use this: the mean above includes those of other services.
   */
  readonly findReported: (endpoint: string, now: number) => EndpointLoad;
  /** Lists the loads that come from this gateway. */
  readonly listOwn: (now: number) => readonly EndpointLoad[];
  /**
   * Replaces the loads reported by the other gateways. `reportedAt` is the monotonic time in
   * milliseconds at which they were collected at the earliest.
   */
  readonly updatePeerLoads: (loads: readonly EndpointLoad[], reportedAt?: number) => void;
  readonly recordOutcome: (endpoint: string, outcome: RunOutcome, now: number) => void;
  readonly listEjected: (endpoints: readonly string[], now: number) => ReadonlySet<string>;
}

interface OwnLoad {
  running: number;
  /** Prefills of requests without a first token. */
  readonly pendingPrefills: PendingPrefills;
}

/** Age up to which the reported prefill of other gateways counts as it is, in milliseconds. */
const FRESH_MS = 600;
/**
 * Age from which nothing is left of the reported prefill. Each endpoint then counts with the mean,
 * so that gateways with the same old view do not all choose the same endpoint.
 */
const OLD_MS = 2_000;

const computeScaledPrefill = (load: EndpointLoad, factor: number): EndpointLoad => ({
  ...load,
  readMs: load.readMs * factor,
  readMsByPriority: (load.readMsByPriority ?? []).map((value) => value * factor),
});

const computeMeanPrefill = (loads: readonly EndpointLoad[]): EndpointLoad => {
  const none: EndpointLoad = { endpoint: '', running: 0, readMs: 0 };
  return computeScaledPrefill(
    loads.reduce(mergeEndpointLoads, none),
    1 / Math.max(1, loads.length),
  );
};

/** Creates a tracker without any loads. */
export const createEndpointLoads = (): EndpointLoads => {
  const ownLoads = new Map<string, OwnLoad>();
  let peerLoads: ReadonlyMap<string, EndpointLoad> = new Map();
  let peersReportedAt = Infinity;
  let meanPrefill = computeMeanPrefill([]);
  const health = createEndpointHealth();

  const acquireOwnLoad = (endpoint: string): OwnLoad => {
    const known = ownLoads.get(endpoint);
    if (known) return known;
    const created: OwnLoad = { running: 0, pendingPrefills: createPendingPrefills() };
    ownLoads.set(endpoint, created);
    return created;
  };

  const findPeerLoad = (endpoint: string, now: number): EndpointLoad | undefined => {
    const load = peerLoads.get(endpoint);
    const ageMs = now - peersReportedAt;
    if (!load || ageMs <= FRESH_MS) return load;
    const weight = Math.max(0, (OLD_MS - ageMs) / (OLD_MS - FRESH_MS));
    const rest = computeScaledPrefill({ ...meanPrefill, running: 0 }, 1 - weight);
    return mergeEndpointLoads(computeScaledPrefill(load, weight), rest);
  };

  const findOwn = (endpoint: string, now: number): EndpointLoad => {
    const load = ownLoads.get(endpoint);
    const pending = load?.pendingPrefills.compute(peerLoads.get(endpoint), now);
    return { endpoint, running: load?.running ?? 0, readMs: 0, ...pending };
  };

  return {
    add: (endpoint, prefill) => {
      const state = acquireOwnLoad(endpoint);
      state.running += 1;
      state.pendingPrefills.add(prefill);
      let isOpen = true;
      return {
        endPrefill: () => {
          state.pendingPrefills.remove(prefill);
        },
        release: () => {
          state.pendingPrefills.remove(prefill);
          if (isOpen) state.running -= 1;
          isOpen = false;
          if (state.running === 0 && ownLoads.get(endpoint) === state) ownLoads.delete(endpoint);
        },
      };
    },
    findTotal: (endpoint, now) => {
      const own = findOwn(endpoint, now);
      const other = findPeerLoad(endpoint, now);
      return other ? mergeEndpointLoads(own, other) : own;
    },
    findOwn,
    findReported: (endpoint, now) => {
      const own = findOwn(endpoint, now);
      const other = peerLoads.get(endpoint);
      return other ? mergeEndpointLoads(own, other) : own;
    },
    listOwn: (now) => [...ownLoads.keys()].map((endpoint) => findOwn(endpoint, now)),
    updatePeerLoads: (loads, reportedAt = Infinity) => {
      peersReportedAt = reportedAt;
      meanPrefill = computeMeanPrefill(loads);
      peerLoads = new Map(loads.map((load) => [load.endpoint, load]));
    },
    recordOutcome: (endpoint, outcome, now) => health.record(endpoint, '', outcome, now),
    listEjected: (endpoints, now) => health.listEjected(endpoints, now),
  };
};
