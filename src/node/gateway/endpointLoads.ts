import { createEndpointHealth, type RunOutcome } from '../decisions';
import type { EndpointLoad } from '../routingControl';

/** The load that one running request adds to an endpoint. */
export interface LoadShare {
  /** Records that the prefill has finished. */
  readonly endReading: () => void;
  /** Records that the request has ended. */
  readonly end: () => void;
}

/** The prefill of a prompt, as predicted when the request was sent. */
export interface ExpectedReading {
  /** Monotonic time in milliseconds at which the prefill starts. */
  readonly startsAt: number;
  readonly readMs: number;
}

/** Tracks the load of each endpoint and the outcomes of this gateway's attempts. */
export interface EndpointLoads {
  /** Adds a request that was sent to an endpoint. */
  readonly add: (endpoint: string, reading: ExpectedReading) => LoadShare;
  /**
   * Returns an endpoint's load from all gateways; the load from other gateways is as they last
   * reported it. `now` is monotonic time in milliseconds.
   */
  readonly findAll: (endpoint: string, now: number) => EndpointLoad;
  /** Lists the loads that come from this gateway. */
  readonly listOwn: (now: number) => readonly EndpointLoad[];
  /** Replaces the loads reported by the other gateways. */
  readonly updateOthers: (loads: readonly EndpointLoad[]) => void;
  readonly recordOutcome: (endpoint: string, outcome: RunOutcome, now: number) => void;
  readonly listEjected: (endpoints: readonly string[], now: number) => ReadonlySet<string>;
}

interface Row {
  running: number;
  /** Prefills of requests without a first token. */
  readonly readings: Set<ExpectedReading>;
}

/** Fraction of a prefill that counts as remaining until the first token arrives, however late it is. */
const LEAST_UNREAD_PART = 0.1;

const countUnreadMs = ({ startsAt, readMs }: ExpectedReading, now: number): number => {
  const doneMs = Math.max(0, now - startsAt);
  return Math.max(LEAST_UNREAD_PART * readMs, readMs - doneMs);
};

/** Creates a tracker without any loads. */
export const createEndpointLoads = (): EndpointLoads => {
  const rows = new Map<string, Row>();
  let others: ReadonlyMap<string, EndpointLoad> = new Map();
  const health = createEndpointHealth();

  const acquireRow = (endpoint: string): Row => {
    const known = rows.get(endpoint);
    if (known) return known;
    const row: Row = { running: 0, readings: new Set() };
    rows.set(endpoint, row);
    return row;
  };

  const findOwn = (endpoint: string, now: number): EndpointLoad => {
    const row = rows.get(endpoint);
    const readings = [...(row?.readings ?? [])];
    const readMs = readings.reduce((sum, reading) => sum + countUnreadMs(reading, now), 0);
    return { endpoint, running: row?.running ?? 0, readMs };
  };

  return {
    add: (endpoint, reading) => {
      const state = acquireRow(endpoint);
      state.running += 1;
      state.readings.add(reading);
      let isOpen = true;
      return {
        endReading: () => {
          state.readings.delete(reading);
        },
        end: () => {
          state.readings.delete(reading);
          if (isOpen) state.running -= 1;
          isOpen = false;
          if (state.running === 0 && rows.get(endpoint) === state) rows.delete(endpoint);
        },
      };
    },
    findAll: (endpoint, now) => {
      const own = findOwn(endpoint, now);
      const other = others.get(endpoint);
      if (!other) return own;
      return {
        endpoint,
        running: own.running + other.running,
        readMs: own.readMs + other.readMs,
      };
    },
    listOwn: (now) => [...rows.keys()].map((endpoint) => findOwn(endpoint, now)),
    updateOthers: (loads) => {
      others = new Map(loads.map((load) => [load.endpoint, load]));
    },
    recordOutcome: (endpoint, outcome, now) => health.record(endpoint, '', outcome, now),
    listEjected: (endpoints, now) => health.listEjected(endpoints, now),
  };
};
