import { performance } from 'node:perf_hooks';
import type { Service } from '../kernel';
import { createPartLogger, type Logger } from '../log';
import type { RpcClient } from '../rpc';
import { createColdPermits } from './coldPermits';
import { createEndpointLimits } from './endpointLimits';
import { createEndpointBackoffs } from './endpointBackoffs';
import type { GatewayMetrics } from './gatewayMetrics';
import type { RegistryView } from './registryView';
import { createRequestGuard } from './requestGuard';
import { createRequestQuarantine, type RequestQuarantine } from './requestQuarantine';
import type { RoutingView } from './routingView';
import { createLeaseClock } from './leaseClock';
import type { GatewayBounds, GatewaySettings } from './settings';
import { createSuspectTable, type SuspectTable } from './suspectTable';

/** How often tables drop what is no longer in force. */
const EXPIRE_INTERVAL_MS = 10_000;

/** How often it is checked that this process was not paused; much less than a pause that counts. */
const COLD_CHECK_INTERVAL_MS = 250;

const readNow = (): number => performance.now();

const createQuarantineServices = (): readonly Service[] => [
  {
    name: 'suspects',
    dependencies: ['log', 'gateway-metrics'],
    start: (find) => ({
      value: createSuspectTable(
        createPartLogger(find<Logger>('log'), 'gateway'),
        find<GatewayMetrics>('gateway-metrics'),
      ),
    }),
  },
  {
    name: 'quarantine',
    dependencies: ['log', 'suspects'],
    start: (find) => {
      const value = createRequestQuarantine({
        suspects: find<SuspectTable>('suspects'),
        log: createPartLogger(find<Logger>('log'), 'gateway'),
        readNow,
      });
      const timer = setInterval(value.expire, EXPIRE_INTERVAL_MS);
      return { value, stop: () => clearInterval(timer) };
    },
  },
  {
    name: 'request-guard',
    dependencies: ['rpc', 'log', 'quarantine', 'routing-view'],
    start: (find) => ({
      value: createRequestGuard({
        quarantine: find<RequestQuarantine>('quarantine'),
        rpc: find<RpcClient>('rpc'),
        log: createPartLogger(find<Logger>('log'), 'gateway'),
        readNow,
        findControlHost: find<RoutingView>('routing-view').findLeader,
      }),
    }),
  },
];

const createLimitsService = (): Service => ({
  name: 'limits',
  dependencies: ['log', 'routing-view', 'registry-view'],
  start: (find) => {
    const registry = find<RegistryView>('registry-view');
    const view = find<RoutingView>('routing-view');
    const value = createEndpointLimits({
      log: createPartLogger(find<Logger>('log'), 'gateway'),
      findService: (incarnation) => registry.findIncarnation(incarnation)?.service,
      countEndpoints: (service) => registry.listEndpoints(service).length,
      countGateways: () => view.read()?.gatewayCount ?? 1,
    });
    const timer = setInterval(() => value.expire(readNow()), EXPIRE_INTERVAL_MS);
    return { value, stop: () => clearInterval(timer) };
  },
});

const createColdPermitsService = ({ cold: bounds }: GatewayBounds): Service => ({
  name: 'cold-permits',
  dependencies: ['log', 'gateway-metrics', 'routing-view', 'registry-view'],
  start: (find) => {
    const registry = find<RegistryView>('registry-view');
    const view = find<RoutingView>('routing-view');
    const value = createColdPermits({
      bounds,
      log: createPartLogger(find<Logger>('log'), 'gateway'),
      metrics: find<GatewayMetrics>('gateway-metrics'),
      clock: createLeaseClock(),
      listServices: () =>
        (view.read()?.table.config.services ?? []).flatMap(({ name, coldStart }) =>
          coldStart ? [name] : [],
        ),
      findColdStart: (service) => view.read()?.table.findService(service)?.coldStart,
      listEndpoints: registry.listEndpoints,
      updateFollowed: registry.updateFollowed,
      countGateways: () => view.read()?.gatewayCount ?? 1,
      readEvacuatedZones: () => view.read()?.evacuatedZones,
    });
    // Without it, a gateway without requests would take an outage of the control hosts for a pause
    // of its own process.
    const timer = setInterval(() => value.check(readNow()), COLD_CHECK_INTERVAL_MS);
    return { value, stop: () => clearInterval(timer) };
  },
});

const createBackoffsService = (): Service => ({
  name: 'backoffs',
  dependencies: ['log'],
  start: (find) => {
    const value = createEndpointBackoffs(createPartLogger(find<Logger>('log'), 'gateway'));
    const timer = setInterval(() => value.expire(readNow()), EXPIRE_INTERVAL_MS);
    return { value, stop: () => clearInterval(timer) };
  },
});

/** Creates the services that say what must not be sent to endpoints, and why. */
export const createRestraintServices = ({
  bounds,
}: Pick<GatewaySettings, 'bounds'>): readonly Service[] => [
  ...createQuarantineServices(),
  createLimitsService(),
  createColdPermitsService(bounds),
  createBackoffsService(),
];
