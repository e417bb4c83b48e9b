import type { Logger } from '../log';
import type { EndpointReport, KnownEndpoint } from '../registry';

/** Notices zones whose evacuation has ended. */
export interface ReturnedZones {
  /** Records doubts about the endpoints of zones that have returned; `now` is monotonic, in ms. */
  readonly record: (now: number) => void;
}

/** Options of the watch on returned zones. */
export interface ReturnedZonesOptions {
  readonly log: Logger;
  readonly listServices: () => readonly string[];
  readonly listEndpoints: (service: string) => readonly KnownEndpoint[];
  /** Returns the zones that are evacuated; undefined while the gateway has no lease. */
  readonly readEvacuatedZones: () => ReadonlySet<string> | undefined;
  /** Records that an endpoint may be cold whatever its earlier reports said. */
  readonly recordDoubt: (endpoint: EndpointReport, now: number) => void;
}

/**
 * Creates a watch on returned zones. Endpoints may have become cold while their zone was evacuated,
 * and their latest reports may be older. Every gateway sees the end of the evacuation, so the doubts
 * need not be shared.
 */
export const createReturnedZones = (options: ReturnedZonesOptions): ReturnedZones => {
  let known: ReadonlySet<string> = new Set();
  return {
    record: (now) => {
      const current = options.readEvacuatedZones();
      if (current === undefined || current === known) return;
      const zones = [...known].filter((zone) => !current.has(zone));
      known = current;
      if (zones.length === 0) return;
      options.log.info({ zones }, 'endpoints of returned zones are not taken for warm');
      options
        .listServices()
        .flatMap(options.listEndpoints)
        .filter(({ report }) => zones.includes(report.zone))
        .forEach(({ report }) => options.recordDoubt(report, now));
    },
  };
};
