/** Outcome of a run at an endpoint, as counted for its health. */
export type RunOutcome = 'ok' | 'failed' | 'overloaded';

/** Circuit breakers and slow start of the endpoints at one entry, per endpoint and version. */
export interface EndpointHealth {
  readonly record: (endpoint: string, version: string, outcome: RunOutcome, now: number) => void;
  /** Adds an endpoint; a new one begins with slow start. */
  readonly add: (endpoint: string, now: number) => void;
  readonly remove: (endpoint: string) => void;
  /** Lists the ejected ones of the given endpoints; their share is limited. */
  readonly listEjected: (endpoints: readonly string[], now: number) => ReadonlySet<string>;
  /**
   * Checks whether the circuit of a version on an endpoint is open. After the open period one probe
   * per interval is let through: the call returns false and starts the next interval.
   */
  readonly isOpen: (endpoint: string, version: string, now: number) => boolean;
  /** Returns the share of the usual load that an endpoint may take, 0..1. */
  readonly readSlowStartFactor: (endpoint: string, now: number) => number;
}

/** Largest share of the endpoints that may be ejected at once. */
export const MAX_EJECTED_SHARE = 0.5;
const FAILURES_TO_OPEN = 3;
const OPEN_BASE_MS = 1_000;
const OPEN_LIMIT_MS = 30_000;
const PROBE_INTERVAL_MS = 500;
const SLOW_START_MS = 10_000;
const MIN_SLOW_START_FACTOR = 0.1;

interface Circuit {
  failures: number;
  openings: number;
  openUntil: number;
  probeAt: number;
}

const ALL_VERSIONS = '';

const formatKey = (endpoint: string, version: string): string => `${endpoint}|${version}`;

const createCircuit = (): Circuit => ({ failures: 0, openings: 0, openUntil: 0, probeAt: 0 });

const recordSuccess = (state: Circuit): void => {
  state.failures = 0;
  state.openings = 0;
  state.openUntil = 0;
};

const recordFailure = (state: Circuit, now: number): void => {
  state.failures += 1;
  if (state.failures < FAILURES_TO_OPEN) return;
  state.openUntil = now + Math.min(OPEN_LIMIT_MS, OPEN_BASE_MS * 2 ** state.openings);
  state.openings += 1;
  state.probeAt = state.openUntil;
  // One more failure after the open period opens the circuit again.
  state.failures = FAILURES_TO_OPEN - 1;
};

/** Creates a health tracker without endpoints; times are in milliseconds of one monotonic clock. */
export const createEndpointHealth = (): EndpointHealth => {
  const circuits = new Map<string, Circuit>();
  const addedAt = new Map<string, number>();

  const acquireCircuit = (endpoint: string, version: string): Circuit => {
    const key = formatKey(endpoint, version);
    const known = circuits.get(key);
    if (known) return known;
    const circuit = createCircuit();
    circuits.set(key, circuit);
    return circuit;
  };

  const readOpenUntil = (endpoint: string, version: string): number =>
    circuits.get(formatKey(endpoint, version))?.openUntil ?? 0;

  const recordAt = (endpoint: string, version: string, outcome: RunOutcome, now: number): void => {
    const circuit = acquireCircuit(endpoint, version);
    if (outcome === 'ok') recordSuccess(circuit);
    if (outcome === 'failed') recordFailure(circuit, now);
  };

  return {
    record: (endpoint, version, outcome, now) => {
      recordAt(endpoint, version, outcome, now);
      if (version !== ALL_VERSIONS) recordAt(endpoint, ALL_VERSIONS, outcome, now);
    },
    add: (endpoint, now) => {
      if (!addedAt.has(endpoint)) addedAt.set(endpoint, now);
    },
    remove: (endpoint) => {
      addedAt.delete(endpoint);
      for (const key of [...circuits.keys()]) {
        if (key.startsWith(`${endpoint}|`)) circuits.delete(key);
      }
    },
    listEjected: (endpoints, now) => {
      const limit = Math.floor(endpoints.length * MAX_EJECTED_SHARE);
      const open = endpoints
        .filter((endpoint) => readOpenUntil(endpoint, ALL_VERSIONS) > now)
        .sort((a, b) => readOpenUntil(b, ALL_VERSIONS) - readOpenUntil(a, ALL_VERSIONS));
      return new Set(open.slice(0, limit));
    },
    isOpen: (endpoint, version, now) => {
      const circuit = circuits.get(formatKey(endpoint, version));
      if (!circuit || circuit.openings === 0) return false;
      if (circuit.openUntil > now) return true;
      // The open period is over: one probe per interval goes through until one succeeds.
      if (circuit.probeAt > now) return true;
      circuit.probeAt = now + PROBE_INTERVAL_MS;
      return false;
    },
    readSlowStartFactor: (endpoint, now) => {
      const since = addedAt.get(endpoint);
      if (since === undefined) return 1;
      return Math.min(
        1,
        MIN_SLOW_START_FACTOR + ((now - since) / SLOW_START_MS) * (1 - MIN_SLOW_START_FACTOR),
      );
    },
  };
};
