import { createEndpointSpeeds, type EndpointSpeeds } from '../decisions';
import { formatIncarnation, type EndpointReport } from '../registry';

/** Speeds of the endpoints of one service, by kind of work. */
export interface SpeedTables {
  /** Time to read a prompt; without own samples it follows the time of a decode step. */
  readonly prefill: EndpointSpeeds;
  /** Time of an event of a running stream. */
  readonly decode: EndpointSpeeds;
  /** Time of an answer of a service without an engine. */
  readonly answer: EndpointSpeeds;
}

/** Speeds of the endpoints of all services, as this gateway knows them. */
export interface ServiceSpeeds {
  readonly acquire: (service: string) => SpeedTables;
  /** Records the measured time per event of a running stream, in milliseconds. */
  readonly recordEventGap: (
    run: { readonly endpoint: EndpointReport; readonly model: string },
    gapMs: number,
    now: number,
  ) => void;
  /** Removes endpoints without recent samples; `now` is monotonic time in milliseconds. */
  readonly expire: (now: number) => void;
}

/** Creates speeds without samples. */
export const createServiceSpeeds = (): ServiceSpeeds => {
  const tables = new Map<string, SpeedTables>();
  const acquire = (service: string): SpeedTables => {
    const known = tables.get(service);
    if (known) return known;
    const decode = createEndpointSpeeds();
    const prefill = createEndpointSpeeds({ prior: decode });
    const created: SpeedTables = { decode, prefill, answer: createEndpointSpeeds() };
    tables.set(service, created);
    return created;
  };
  return {
    acquire,
    recordEventGap: ({ endpoint, model }, gapMs, now) => {
      const sample = { endpoint: formatIncarnation(endpoint), kind: model, unitMs: gapMs };
      acquire(endpoint.service).decode.record(sample, now);
    },
    expire: (now) =>
      tables.forEach(({ prefill, decode, answer }) =>
        [prefill, decode, answer].forEach((speeds: EndpointSpeeds) => speeds.expire(now)),
      ),
  };
};
