import type { Logger } from '../log';
import type { EndpointReport } from '../registry';

/** A limit on the requests of all gateways that an endpoint has named. */
export interface EndpointLimit {
  readonly requestsPerSecond: number;
  /** Monotonic time in milliseconds of the latest response that named it. */
  readonly namedAt: number;
}

/** A response of an endpoint, as far as it concerns its limit. */
export interface LimitObservation {
  readonly endpoint: EndpointReport;
  readonly request: string;
  /** Limit that the response names; undefined if it names none. */
  readonly requestsPerSecond: number | undefined;
  /** Monotonic time in milliseconds at which the attempt started. */
  readonly startedAt: number;
}

/** Remembers the limits that endpoints name in their responses. */
export interface EndpointLimits {
  /** Records the head of a response. `now` is monotonic time in milliseconds. */
  readonly record: (observation: LimitObservation, now: number) => void;
}

/** Formats the key of an endpoint's incarnation, for which a limit holds. */
export const formatIncarnation = ({
  id,
  startedAt,
}: Pick<EndpointReport, 'id' | 'startedAt'>): string => `${id}|${startedAt}`;

/** Creates an empty table. */
export const createEndpointLimits = (log: Logger): EndpointLimits => {
  const limits = new Map<string, EndpointLimit>();
  return {
    record: ({ endpoint, request, requestsPerSecond, startedAt }, now) => {
      const key = formatIncarnation(endpoint);
      const known = limits.get(key);
      const facts = { endpoint: endpoint.id, request, before: known?.requestsPerSecond };
      if (requestsPerSecond !== undefined) {
        limits.set(key, { requestsPerSecond, namedAt: now });
        if (known?.requestsPerSecond !== requestsPerSecond) {
          log.info({ ...facts, requestsPerSecond }, 'endpoint named its request limit');
        }
        return;
      }
      // A response to an earlier request may arrive later.
      if (!known || startedAt <= known.namedAt) return;
      limits.delete(key);
      log.info(facts, 'endpoint ended its request limit');
    },
  };
};
