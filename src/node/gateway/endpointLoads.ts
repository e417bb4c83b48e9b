import { createEndpointHealth, type RunOutcome } from '../decisions';
import type { EndpointLoad } from '../routingControl';

/** One request at an endpoint, as long as it is under way. */
export interface LoadEntry {
  /** Notes that the endpoint has read the prompt. */
  readonly endPrefill: () => void;
  /** Notes the request's end. */
  readonly release: () => void;
}

/** When an endpoint will read a prompt, as predicted at its sending. */
export interface PredictedPrefill {
  /** Steady time in milliseconds at which it begins. */
  readonly startsAt: number;
  readonly prefillMs: number;
}

/** What is under way at each endpoint, and how this gateway's attempts there went. */
export interface EndpointLoads {
  /** Notes a request sent to an endpoint. */
  readonly add: (endpoint: string, reading: PredictedPrefill) => LoadEntry;
  /** Work of all gateways, that of the others as they told it last; `now` is steady milliseconds. */
  readonly findTotal: (endpoint: string, now: number) => EndpointLoad;
  /** Work of this gateway. */
  readonly listOwn: (now: number) => readonly EndpointLoad[];
  /** Takes over what the other gateways have told of. */
  readonly updatePeerLoads: (loads: readonly EndpointLoad[]) => void;
  readonly recordOutcome: (endpoint: string, outcome: RunOutcome, now: number) => void;
  readonly listEjected: (endpoints: readonly string[], now: number) => ReadonlySet<string>;
}

interface OwnLoad {
  running: number;
  /** Prompts of which no first token has come. */
  readonly pendingPrefills: Set<PredictedPrefill>;
}

/** Part of a prompt that counts as unread until the first token, however late it is. */
const MIN_REMAINING_FRACTION = 0.1;

const computeRemainingMs = (
  { startsAt, prefillMs: readMs }: PredictedPrefill,
  now: number,
): number => {
  const doneMs = Math.max(0, now - startsAt);
  return Math.max(MIN_REMAINING_FRACTION * readMs, readMs - doneMs);
};

/** Creates an empty table. */
export const createEndpointLoads = (): EndpointLoads => {
  const ownLoads = new Map<string, OwnLoad>();
  let peerLoads: ReadonlyMap<string, EndpointLoad> = new Map();
  const health = createEndpointHealth();

  const acquireOwnLoad = (endpoint: string): OwnLoad => {
    const known = ownLoads.get(endpoint);
    if (known) return known;
    const created: OwnLoad = { running: 0, pendingPrefills: new Set() };
    ownLoads.set(endpoint, created);
    return created;
  };

  const findOwn = (endpoint: string, now: number): EndpointLoad => {
    const row = ownLoads.get(endpoint);
    const readings = [...(row?.pendingPrefills ?? [])];
    const readMs = readings.reduce((sum, reading) => sum + computeRemainingMs(reading, now), 0);
    return { endpoint, running: row?.running ?? 0, readMs };
  };

  return {
    add: (endpoint, reading) => {
      const state = acquireOwnLoad(endpoint);
      state.running += 1;
      state.pendingPrefills.add(reading);
      let isOpen = true;
      return {
        endPrefill: () => {
          state.pendingPrefills.delete(reading);
        },
        release: () => {
          state.pendingPrefills.delete(reading);
          if (isOpen) state.running -= 1;
          isOpen = false;
          if (state.running === 0 && ownLoads.get(endpoint) === state) ownLoads.delete(endpoint);
        },
      };
    },
    findTotal: (endpoint, now) => {
      const own = findOwn(endpoint, now);
      const other = peerLoads.get(endpoint);
      if (!other) return own;
      return {
        endpoint,
        running: own.running + other.running,
        readMs: own.readMs + other.readMs,
      };
    },
    listOwn: (now) => [...ownLoads.keys()].map((endpoint) => findOwn(endpoint, now)),
    updatePeerLoads: (loads) => {
      peerLoads = new Map(loads.map((load) => [load.endpoint, load]));
    },
    recordOutcome: (endpoint, outcome, now) => health.record(endpoint, '', outcome, now),
    listEjected: (endpoints, now) => health.listEjected(endpoints, now),
  };
};
