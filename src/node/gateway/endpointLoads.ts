import { createEndpointHealth, type RunOutcome } from '../decisions';
import type { EndpointLoad } from '../routingControl';

/** One request at an endpoint, as long as it is under way. */
export interface LoadShare {
  /** Notes that the endpoint has read the prompt. */
  readonly endReading: () => void;
  /** Notes the request's end. */
  readonly end: () => void;
}

/** What is under way at each endpoint, and how this gateway's attempts there went. */
export interface EndpointLoads {
  /** Notes a request sent to an endpoint, with the time that reading its prompt takes there. */
  readonly add: (endpoint: string, readMs: number) => LoadShare;
  /** Work of this gateway. */
  readonly findOwn: (endpoint: string) => EndpointLoad;
  /** Work of all gateways, that of the others as they told it last. */
  readonly findAll: (endpoint: string) => EndpointLoad;
  readonly listOwn: () => readonly EndpointLoad[];
  /** Takes over what the other gateways have told of. */
  readonly updateOthers: (loads: readonly EndpointLoad[]) => void;
  readonly recordOutcome: (endpoint: string, outcome: RunOutcome, now: number) => void;
  readonly listEjected: (endpoints: readonly string[], now: number) => ReadonlySet<string>;
}

interface Row {
  running: number;
  readMs: number;
}

/** Creates an empty table. */
export const createEndpointLoads = (): EndpointLoads => {
  const rows = new Map<string, Row>();
  let others: ReadonlyMap<string, EndpointLoad> = new Map();
  const health = createEndpointHealth();

  const acquireRow = (endpoint: string): Row => {
    const known = rows.get(endpoint);
    if (known) return known;
    const row: Row = { running: 0, readMs: 0 };
    rows.set(endpoint, row);
    return row;
  };

  const findOwn = (endpoint: string): EndpointLoad => {
    const row = rows.get(endpoint);
    return { endpoint, running: row?.running ?? 0, readMs: row?.readMs ?? 0 };
  };

  return {
    add: (endpoint, readMs) => {
      const state = acquireRow(endpoint);
      state.running += 1;
      state.readMs += readMs;
      let isReading = true;
      let isOpen = true;
      const removeReading = (): void => {
        if (isReading) state.readMs = Math.max(0, state.readMs - readMs);
        isReading = false;
      };
      return {
        endReading: removeReading,
        end: () => {
          removeReading();
          if (isOpen) state.running -= 1;
          isOpen = false;
          if (state.running === 0 && rows.get(endpoint) === state) rows.delete(endpoint);
        },
      };
    },
    findOwn,
    findAll: (endpoint) => {
      const own = findOwn(endpoint);
      const other = others.get(endpoint);
      if (!other) return own;
      return {
        endpoint,
        running: own.running + other.running,
        readMs: own.readMs + other.readMs,
      };
    },
    listOwn: () => [...rows.keys()].map(findOwn),
    updateOthers: (loads) => {
      others = new Map(loads.map((load) => [load.endpoint, load]));
    },
    recordOutcome: (endpoint, outcome, now) => health.record(endpoint, '', outcome, now),
    listEjected: (endpoints, now) => health.listEjected(endpoints, now),
  };
};
