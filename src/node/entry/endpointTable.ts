import { createEndpointHealth, type EndpointStatus, type RunOutcome } from '../decisions';
import { formatVersionName, type Member } from '../view';

/** Context of an endpoint lookup: the ejected endpoints, and the urgency of the request. */
export interface EndpointQuery {
  readonly ejected: ReadonlySet<string>;
  /** Urgent attempts have reserved slots, so only other urgent attempts count as load. */
  readonly isUrgent: boolean;
}

/** Load, load reports and health of the endpoints, as one entry knows them. */
export interface EndpointTable {
  readonly read: (
    member: Member,
    model: string,
    version: string,
    query: EndpointQuery,
  ) => EndpointStatus;
  readonly listEjected: (endpoints: readonly string[]) => ReadonlySet<string>;
  readonly readLoad: (endpoint: string) => number;
  readonly updateLoad: (endpoint: string, change: number, isUrgent: boolean) => void;
  /** Records a load that an endpoint reported. */
  readonly recordLoad: (endpoint: string, load: number) => void;
  readonly recordOutcome: (
    endpoint: string,
    model: string,
    version: string,
    outcome: RunOutcome,
  ) => void;
}

interface LoadReport {
  readonly load: number;
  readonly at: number;
}

/** Endpoints seen this soon after the start already ran before it and need no slow start. */
const STARTUP_WINDOW_MS = 2_000;

const addLoad = (loads: Map<string, number>, endpoint: string, change: number): void => {
  const load = (loads.get(endpoint) ?? 0) + change;
  if (load > 0) loads.set(endpoint, load);
  else loads.delete(endpoint);
};

/** Creates an empty table. `readNow` returns milliseconds of a monotonic clock. */
export const createEndpointTable = (readNow: () => number): EndpointTable => {
  const loads = new Map<string, number>();
  const urgentLoads = new Map<string, number>();
  const reports = new Map<string, LoadReport>();
  const health = createEndpointHealth();
  const createdAt = readNow();
  const readLoad = (endpoint: string): number => loads.get(endpoint) ?? 0;

  return {
    read: ({ endpoint }, model, version, { ejected, isUrgent }) => {
      const now = readNow();
      if (now > createdAt + STARTUP_WINDOW_MS) health.add(endpoint, now);
      else health.add(endpoint, -Infinity);
      const report = reports.get(endpoint);
      const isOpen = health.isOpen(endpoint, formatVersionName(model, version), now);
      return {
        inFlight: isUrgent ? (urgentLoads.get(endpoint) ?? 0) : readLoad(endpoint),
        reportedLoad: isUrgent ? undefined : report?.load,
        reportAgeMs: report && now - report.at,
        slowStartFactor: health.readSlowStartFactor(endpoint, now),
        isEjected: ejected.has(endpoint) || isOpen,
      };
    },
    listEjected: (endpoints) => health.listEjected(endpoints, readNow()),
    readLoad,
    updateLoad: (endpoint, change, isUrgent) => {
      addLoad(loads, endpoint, change);
      if (isUrgent) addLoad(urgentLoads, endpoint, change);
    },
    recordLoad: (endpoint, load) => {
      reports.set(endpoint, { load, at: readNow() });
    },
    recordOutcome: (endpoint, model, version, outcome) =>
      health.record(endpoint, formatVersionName(model, version), outcome, readNow()),
  };
};
