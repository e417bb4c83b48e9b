import { performance } from 'node:perf_hooks';
import type { Service } from '../kernel';
import { createPartLogger, type Logger } from '../log';
import type { RpcClient } from '../rpc';
import type { ColdPermits } from './coldPermits';
import { createColdTopic } from './coldTopic';
import type { EndpointLimits } from './endpointLimits';
import type { EndpointLoads } from './endpointLoads';
import type { GatewayMetrics } from './gatewayMetrics';
import { createLeaseClock } from './leaseClock';
import { createLimitTopic } from './limitTopic';
import { createLoadTopic } from './loadTopic';
import { createPeerExchange } from './peerExchange';
import type { PrefixCacheEstimates } from './prefixCacheEstimates';
import type { RequestQuarantine } from './requestQuarantine';
import type { RoutingView } from './routingView';
import type { ScarcityAdmission } from './scarcityAdmission';
import type { ServiceSpeeds } from './serviceSpeeds';
import type { SessionExchange } from './sessionExchange';
import type { GatewaySettings } from './settings';
import { createSpeedTopic } from './speedTopic';
import { createSuspectTopic } from './suspectTopic';
import type { SuspectTable } from './suspectTable';

const readNow = (): number => performance.now();

/** Creates the service that exchanges what the gateways know with the leading control host. */
export const createPeerExchangeService = ({ node, bounds }: GatewaySettings): Service => ({
  name: 'peer-exchange',
  dependencies: [
    'rpc',
    'log',
    'routing-view',
    'loads',
    'beliefs',
    'admission',
    'gateway-metrics',
    'session-exchange',
    'suspects',
    'quarantine',
    'limits',
    'cold-permits',
    'speeds',
  ],
  start: (find) => {
    const view = find<RoutingView>('routing-view');
    const value = createPeerExchange({
      gateway: node,
      rpc: find<RpcClient>('rpc'),
      log: createPartLogger(find<Logger>('log'), 'gateway'),
      topics: [
        createLoadTopic({
          loads: find<EndpointLoads>('loads'),
          cacheEstimates: find<PrefixCacheEstimates>('beliefs'),
          metrics: find<GatewayMetrics>('gateway-metrics'),
          readNow,
          handleUpdate: find<ScarcityAdmission>('admission').recordExchange,
          handleLoss: find<ScarcityAdmission>('admission').recordExchangeLost,
        }),
        find<SessionExchange>('session-exchange').topic,
        createSuspectTopic({
          suspects: find<SuspectTable>('suspects'),
          quarantine: find<RequestQuarantine>('quarantine'),
          log: createPartLogger(find<Logger>('log'), 'gateway'),
          readNow,
        }),
        createLimitTopic({
          limits: find<EndpointLimits>('limits'),
          log: createPartLogger(find<Logger>('log'), 'gateway'),
          readNow,
        }),
        createColdTopic({
          permits: find<ColdPermits>('cold-permits'),
          log: createPartLogger(find<Logger>('log'), 'gateway'),
          clock: createLeaseClock(),
          readNow,
        }),
        ...(bounds.hasEndpointSpeeds
          ? [
              createSpeedTopic({
                speeds: find<ServiceSpeeds>('speeds'),
                log: createPartLogger(find<Logger>('log'), 'gateway'),
                readNow,
              }),
            ]
          : []),
      ],
      countGateways: () => view.read()?.gatewayCount ?? 1,
      findControlHost: view.findLeader,
    });
    value.start();
    return { value, stop: value.stop };
  },
});
