import { computeRestEnd } from '../decisions';
import type { Logger } from '../log';
import { formatIncarnation, type EndpointReport } from '../registry';

/** A refusal that says for how long an endpoint wants no requests. */
export interface RestObservation {
  readonly endpoint: EndpointReport;
  readonly request: string;
  readonly restMs: number;
}

/** The times for which endpoints want no requests from this gateway. */
export interface EndpointRests {
  /** Records the head of a refusal. `now` is monotonic time in milliseconds. */
  readonly record: (observation: RestObservation, now: number) => void;
  /** Returns when an endpoint's rest ends, in milliseconds; undefined if it wants none now. */
  readonly findEnd: (endpoint: EndpointReport, now: number) => number | undefined;
  /** Removes the rests that have ended. */
  readonly expire: (now: number) => void;
}

/** Creates an empty table. */
export const createEndpointRests = (log: Logger): EndpointRests => {
  const ends = new Map<string, number>();
  return {
    record: ({ endpoint, request, restMs }, now) => {
      const incarnation = formatIncarnation(endpoint);
      ends.set(incarnation, computeRestEnd(ends.get(incarnation), { at: now, restMs }));
      log.info({ request, incarnation, restMs }, 'endpoint wants no requests for some time');
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
