import { createEndpointSpeeds, type EndpointSpeed, type EndpointSpeeds } from '../decisions';
import { formatIncarnation, type EndpointReport } from '../registry';
import {
  MAX_REPORTED_SPEEDS,
  type SharedSpeedRow,
  type ShareSpeedsParams,
  type SpeedKind,
} from '../routingControl';

/** Speeds of the endpoints of one service, by kind of work. */
export interface SpeedTables {
  /** Time to read a prompt; without own samples it follows the time of a decode step. */
  readonly prefill: EndpointSpeeds;
  /** Time of an event of a running stream. */
  readonly decode: EndpointSpeeds;
  /** Time of an answer of a service without an engine. */
  readonly answer: EndpointSpeeds;
}

/** The speed of an endpoint in one kind of work. */
export interface KnownSpeed extends EndpointSpeed {
  readonly kind: SpeedKind;
  /** The endpoint's incarnation. */
  readonly endpoint: string;
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
  /** Lists the endpoints with samples, by kind of work. */
  readonly listAll: (now: number) => readonly KnownSpeed[];
  /** Takes the samples that other gateways have not got yet. */
  readonly drainSamples: () => ShareSpeedsParams['samples'];
  /** Applies what the samples of all gateways show. */
  readonly applyShared: (speeds: readonly SharedSpeedRow[], now: number) => void;
  /** Removes what the samples of other gateways show. */
  readonly removeShared: () => void;
  /** Removes endpoints without recent samples; `now` is monotonic time in milliseconds. */
  readonly expire: (now: number) => void;
}

const KINDS = ['prefill', 'decode', 'answer'] as const;

/** Finds the service of an endpoint's incarnation; undefined if the incarnation is not known. */
export type FindService = (incarnation: string) => string | undefined;

/**
 * Creates speeds that stay the same for all endpoints. Under load, prompts that were overtaken look
 * like those of slow endpoints, so speeds are learnt only where the settings ask for it.
 */
export const createEqualSpeeds = (): ServiceSpeeds => {
  const equal: EndpointSpeeds = { ...createEndpointSpeeds(), record: () => {} };
  const tables: SpeedTables = { prefill: equal, decode: equal, answer: equal };
  return {
    acquire: () => tables,
    recordEventGap: () => {},
    drainSamples: () => [],
    listAll: () => [],
    applyShared: () => {},
    removeShared: () => {},
    expire: () => {},
  };
};

/** Creates speeds without samples. Speeds from others are kept for endpoints of known services. */
export const createServiceSpeeds = (findService: FindService = () => undefined): ServiceSpeeds => {
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
    listAll: (now) =>
      [...tables.values()].flatMap((item) =>
        KINDS.flatMap((kind) =>
          item[kind].list().flatMap((endpoint) => {
            const speed = item[kind].find(endpoint, now);
            return speed ? [{ kind, endpoint, ...speed }] : [];
          }),
        ),
      ),
    drainSamples: () =>
      [...tables.values()]
        .flatMap((item) =>
          KINDS.flatMap((kind) =>
            item[kind].drainSamples(MAX_REPORTED_SPEEDS).map((sample) => ({ kind, ...sample })),
          ),
        )
        .slice(0, MAX_REPORTED_SPEEDS),
    applyShared: (speeds, now) =>
      speeds.forEach(({ kind, ...row }) => {
        const service = findService(row.endpoint);
        if (service !== undefined) acquire(service)[kind].applyShared([row], now);
      }),
    removeShared: () =>
      tables.forEach((item) => KINDS.forEach((kind) => item[kind].removeShared())),
    expire: (now) => tables.forEach((item) => KINDS.forEach((kind) => item[kind].expire(now))),
  };
};
