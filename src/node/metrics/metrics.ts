import type { FastifyInstance } from 'fastify';
import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from 'prom-client';
import { METRIC_DEFINITIONS, type MetricName, type MetricRole } from './definitions';

type GaugeName =
  | 'queue'
  | 'running'
  | 'configCommitted'
  | 'ledgerCommitted'
  | 'leader'
  | 'nodes'
  | 'revision'
  | 'zonesEvacuated'
  | 'gatewayZonesEvacuated'
  | 'lease';

/** The metrics of one process. Metrics of other roles may be set but are not served. */
export interface Metrics {
  readonly registry: Registry;
  readonly requests: Counter<'organisation' | 'model' | 'status'>;
  readonly firstPiece: Histogram<'model'>;
  readonly active: Gauge;
  readonly refusals: Counter<'type'>;
  readonly retries: Counter;
  readonly attempts: Counter<'outcome'>;
  readonly calls: Counter<'method' | 'result'>;
  /** Registers the function that supplies a gauge's value; it is called on each scrape. */
  readonly registerSource: (name: GaugeName, read: () => number) => void;
}

const SECONDS_BUCKETS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.35, 0.5, 1, 2.5, 5, 10];

/** Creates the metrics of one process in their own registry; `all` serves those of every role. */
export const createMetrics = (role: MetricRole = 'all'): Metrics => {
  const registry = new Registry();
  collectDefaultMetrics({ register: registry });

  const resolveOptions = <N extends MetricName>(name: N) => {
    const { name: fullName, help, labels, role: owner } = METRIC_DEFINITIONS[name];
    const isServed = role === 'all' || owner === 'all' || owner === role;
    type Labels = (typeof METRIC_DEFINITIONS)[N]['labels'][number];
    const labelNames = [...labels] as Labels[];
    return { name: fullName, help, labelNames, registers: isServed ? [registry] : [] };
  };

  return {
    registry,
    requests: new Counter(resolveOptions('requests')),
    firstPiece: new Histogram({ ...resolveOptions('firstPiece'), buckets: SECONDS_BUCKETS }),
    active: new Gauge(resolveOptions('active')),
    refusals: new Counter(resolveOptions('refusals')),
    retries: new Counter(resolveOptions('retries')),
    attempts: new Counter(resolveOptions('attempts')),
    calls: new Counter(resolveOptions('calls')),
    registerSource: (name, read) => {
      const gauge: Gauge = new Gauge({
        ...resolveOptions(name),
        collect: () => gauge.set(read()),
      });
    },
  };
};

/** Registers `GET /metrics`. */
export const registerMetrics = (app: FastifyInstance, metrics: Metrics): void => {
  app.get('/metrics', async (_request, reply) => {
    reply.header('content-type', metrics.registry.contentType);
    return metrics.registry.metrics();
  });
};
