import { Counter, Gauge, Histogram, type Registry } from 'prom-client';

/** Metrics of a gateway. */
export interface GatewayMetrics {
  readonly requests: Counter<'route' | 'end'>;
  readonly attempts: Counter<'service' | 'result'>;
  readonly firstByte: Histogram<'route'>;
  readonly duration: Histogram<'route'>;
  readonly active: Gauge;
}

const SECONDS_BUCKETS = [0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 1, 2, 3, 5, 10, 20];

/** Creates the metrics of a gateway in a registry. */
export const createGatewayMetrics = (registry: Registry): GatewayMetrics => {
  const registers = [registry];
  return {
    requests: new Counter({
      name: 'oleanderfront_gateway_requests_total',
      help: 'Requests that ended, by route and how.',
      labelNames: ['route', 'end'],
      registers,
    }),
    attempts: new Counter({
      name: 'oleanderfront_gateway_attempts_total',
      help: 'Attempts at endpoints, by service and result.',
      labelNames: ['service', 'result'],
      registers,
    }),
    firstByte: new Histogram({
      name: 'oleanderfront_gateway_first_byte_seconds',
      help: 'Time from the receipt of a request to the first byte of its answer.',
      labelNames: ['route'],
      buckets: SECONDS_BUCKETS,
      registers,
    }),
    duration: new Histogram({
      name: 'oleanderfront_gateway_request_seconds',
      help: 'Time from the receipt of a request to its end.',
      labelNames: ['route'],
      buckets: SECONDS_BUCKETS,
      registers,
    }),
    active: new Gauge({
      name: 'oleanderfront_gateway_requests_active',
      help: 'Requests under way.',
      registers,
    }),
  };
};
