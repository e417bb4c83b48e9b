import { createEndpointHealth, type RunOutcome } from '../decisions';
import type { EndpointLoad } from '../routingControl';

/** One request at an endpoint, as long as it is under way. */
export interface LoadShare {
  /** Notes that the endpoint has read the prompt. */
  readonly endReading: () => void;
  /** Notes the request's end. */
  readonly end: () => void;
}

/** When an endpoint will read a prompt, as predicted at its sending. */
export interface ExpectedReading {
  /** Steady time in milliseconds at which it begins. */
  readonly startsAt: number;
  readonly readMs: number;
}

/** What is under way at each endpoint, and how this gateway's attempts there went. */
export interface EndpointLoads {
  /** Notes a request sent to an endpoint. */
  readonly add: (endpoint: string, reading: ExpectedReading) => LoadShare;
  /** Work of all gateways, that of the others as they told it last; `now` is steady milliseconds. */
  readonly findAll: (endpoint: string, now: number) => EndpointLoad;
  /** Work of this gateway. */
  readonly listOwn: (now: number) => readonly EndpointLoad[];
  /** Takes over what the other gateways have told of. */
  readonly updateOthers: (loads: readonly EndpointLoad[]) => void;
  readonly recordOutcome: (endpoint: string, outcome: RunOutcome, now: number) => void;
  readonly listEjected: (endpoints: readonly string[], now: number) => ReadonlySet<string>;
}

interface Row {
  running: number;
  /** Prompts of which no first token has come. */
  readonly readings: Set<ExpectedReading>;
}

/** Part of a prompt that counts as unread until the first token, however late it is. */
const LEAST_UNREAD_PART = 0.1;

const countUnreadMs = ({ startsAt, readMs }: ExpectedReading, now: number): number => {
  const doneMs = Math.max(0, now - startsAt);
  return Math.max(LEAST_UNREAD_PART * readMs, readMs - doneMs);
};

/** Creates an empty table. */
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
