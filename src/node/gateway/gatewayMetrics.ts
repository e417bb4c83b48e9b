import { Counter, Gauge, Histogram, type Registry } from 'prom-client';
import { METRIC_DEFINITIONS } from '../metrics';

/** Metrics of a gateway. */
export interface GatewayMetrics {
  readonly requests: Counter<'route' | 'end'>;
  readonly attempts: Counter<'service' | 'result'>;
  readonly enginePriorities: Counter<'service' | 'priority'>;
  readonly displacedWork: Counter<'service'>;
  readonly pendingPrefill: Gauge<'priority'>;
  readonly firstByte: Histogram<'route'>;
  readonly duration: Histogram<'route'>;
  readonly active: Gauge;
  readonly admissions: Counter<'route' | 'outcome' | 'reason'>;
  readonly admissionWait: Histogram<'route'>;
  readonly blocksQuarantined: Gauge;
  readonly requestsQuarantined: Gauge;
  readonly coldPermits: Counter<'service' | 'step'>;
  readonly endpointSpeed: Histogram<'kind'>;
}

const FACTOR_BUCKETS = [0.25, 0.4, 0.5, 0.67, 0.8, 0.95, 1.05, 1.25, 1.5, 2, 2.5, 4];
const SECONDS_BUCKETS = [0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 1, 2, 3, 5, 10, 20];

type GatewayMetricName = Extract<keyof typeof METRIC_DEFINITIONS, `gateway${string}`>;

/** Creates the metrics of a gateway in a registry. */
export const createGatewayMetrics = (registry: Registry): GatewayMetrics => {
  const resolveOptions = <N extends GatewayMetricName>(key: N) => {
    const { name, help, labels } = METRIC_DEFINITIONS[key];
    type Label = (typeof METRIC_DEFINITIONS)[N]['labels'][number];
    return { name, help, labelNames: [...labels] as Label[], registers: [registry] };
  };
  const buckets = SECONDS_BUCKETS;
  return {
    requests: new Counter(resolveOptions('gatewayRequests')),
    attempts: new Counter(resolveOptions('gatewayAttempts')),
    enginePriorities: new Counter(resolveOptions('gatewayEnginePriorities')),
    displacedWork: new Counter(resolveOptions('gatewayDisplacedWork')),
    pendingPrefill: new Gauge(resolveOptions('gatewayPendingPrefill')),
    firstByte: new Histogram({ ...resolveOptions('gatewayFirstByte'), buckets }),
    duration: new Histogram({ ...resolveOptions('gatewayDuration'), buckets }),
    active: new Gauge(resolveOptions('gatewayActive')),
    admissions: new Counter(resolveOptions('gatewayAdmissions')),
    admissionWait: new Histogram({ ...resolveOptions('gatewayAdmissionWait'), buckets }),
    blocksQuarantined: new Gauge(resolveOptions('gatewayBlocksQuarantined')),
    requestsQuarantined: new Gauge(resolveOptions('gatewayRequestsQuarantined')),
    coldPermits: new Counter(resolveOptions('gatewayColdPermits')),
    endpointSpeed: new Histogram({
      ...resolveOptions('gatewayEndpointSpeed'),
      buckets: FACTOR_BUCKETS,
    }),
  };
};
