import type { FastifyInstance } from 'fastify';
import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from 'prom-client';

/** The metrics of one process. */
export interface Metrics {
  readonly registry: Registry;
  /** Requests answered, by organisation, model, status. */
  readonly requests: Counter<'organisation' | 'model' | 'status'>;
  /** Seconds to the first piece of an answer. */
  readonly firstPiece: Histogram<'model'>;
  /** Requests under way. */
  readonly active: Gauge;
}

const SECONDS_BUCKETS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.35, 0.5, 1, 2.5, 5, 10];

/** Creates the metrics of one process in a registry of its own. */
export const createMetrics = (): Metrics => {
  const registry = new Registry();
  collectDefaultMetrics({ register: registry });
  return {
    registry,
    requests: new Counter({
      name: 'oleanderfront_requests_total',
      help: 'Requests answered.',
      labelNames: ['organisation', 'model', 'status'],
      registers: [registry],
    }),
    firstPiece: new Histogram({
      name: 'oleanderfront_first_piece_seconds',
      help: 'Seconds from the receipt of a request to the first piece of its answer.',
      labelNames: ['model'],
      buckets: SECONDS_BUCKETS,
      registers: [registry],
    }),
    active: new Gauge({
      name: 'oleanderfront_requests_active',
      help: 'Requests under way.',
      registers: [registry],
    }),
  };
};

/** Registers `GET /metrics`. */
export const registerMetrics = (app: FastifyInstance, metrics: Metrics): void => {
  app.get('/metrics', async (_request, reply) => {
    reply.header('content-type', metrics.registry.contentType);
    return metrics.registry.metrics();
  });
};
