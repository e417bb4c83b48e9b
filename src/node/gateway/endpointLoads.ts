import { createEndpointHealth, type RunOutcome } from '../decisions';

/** What this gateway has under way at each endpoint, and how its answers went. */
export interface EndpointLoads {
  /** Notes a request sent to an endpoint; the returned function notes its end. */
  readonly add: (endpoint: string) => () => void;
  readonly countRunning: (endpoint: string) => number;
  readonly recordOutcome: (endpoint: string, outcome: RunOutcome, now: number) => void;
  readonly listEjected: (endpoints: readonly string[], now: number) => ReadonlySet<string>;
}

/** Creates an empty table. */
export const createEndpointLoads = (): EndpointLoads => {
  const running = new Map<string, number>();
  const health = createEndpointHealth();

  const remove = (endpoint: string): void => {
    const left = (running.get(endpoint) ?? 1) - 1;
    if (left > 0) running.set(endpoint, left);
    else running.delete(endpoint);
  };

  return {
    add: (endpoint) => {
      running.set(endpoint, (running.get(endpoint) ?? 0) + 1);
      let isOpen = true;
      return () => {
        if (isOpen) remove(endpoint);
        isOpen = false;
      };
    },
    countRunning: (endpoint) => running.get(endpoint) ?? 0,
    recordOutcome: (endpoint, outcome, now) => health.record(endpoint, '', outcome, now),
    listEjected: (endpoints, now) => health.listEjected(endpoints, now),
  };
};
