import { computeBackoffEnd } from '../decisions';
import type { Logger } from '../log';
import { formatIncarnation, type EndpointReport } from '../registry';

/** A refusal that asks for a back-off. */
export interface BackoffObservation {
  readonly endpoint: EndpointReport;
  readonly request: string;
  readonly backoffMs: number;
}

/** The times for which endpoints have asked this gateway for no requests (`Retry-After`). */
export interface EndpointBackoffs {
  /** Records the head of a refusal. `now` is monotonic time in milliseconds. */
  readonly record: (observation: BackoffObservation, now: number) => void;
  /** Returns when an endpoint's back-off ends, in milliseconds; undefined if there is none now. */
  readonly findEnd: (endpoint: EndpointReport, now: number) => number | undefined;
  /** Removes the back-offs that have ended. */
  readonly expire: (now: number) => void;
}

/** Creates an empty table. */
export const createEndpointBackoffs = (log: Logger): EndpointBackoffs => {
  const ends = new Map<string, number>();
  return {
    record: ({ endpoint, request, backoffMs }, now) => {
      const incarnation = formatIncarnation(endpoint);
      ends.set(incarnation, computeBackoffEnd(ends.get(incarnation), { at: now, backoffMs }));
      log.info({ request, incarnation, backoffMs }, 'endpoint asked for a back-off');
    },
    findEnd: (endpoint, now) => {
      // Asked for every endpoint of every choice.
      if (ends.size === 0) return undefined;
      const end = ends.get(formatIncarnation(endpoint));
      return end !== undefined && end > now ? end : undefined;
    },
    expire: (now) => {
      for (const [incarnation, end] of ends) {
        if (end <= now) ends.delete(incarnation);
      }
    },
  };
};
