import { performance } from 'node:perf_hooks';
import type { Service } from '../kernel';
import { createPartLogger, type Logger } from '../log';
import type { GatewayMetrics } from './gatewayMetrics';
import type { RegistryView } from './registryView';
import { createEqualSpeeds, createServiceSpeeds } from './serviceSpeeds';
import { createSpeedWatch } from './speedWatch';

const LOG_INTERVAL_MS = 500;
const METRICS_INTERVAL_MS = 10_000;

/** Creates the service that holds the measured speeds of endpoints, or equal ones. */
export const createSpeedService = (isLearning: boolean): Service => ({
  name: 'speeds',
  dependencies: ['registry-view', 'gateway-metrics', 'log'],
  start: (find) => {
    if (!isLearning) return { value: createEqualSpeeds() };
    const registry = find<RegistryView>('registry-view');
    const value = createServiceSpeeds(
      (incarnation) => registry.findIncarnation(incarnation)?.service,
    );
    const watch = createSpeedWatch({
      speeds: value,
      metrics: find<GatewayMetrics>('gateway-metrics'),
      log: createPartLogger(find<Logger>('log'), 'gateway'),
    });
    const timers = [
      setInterval(() => watch.logChanges(performance.now()), LOG_INTERVAL_MS),
      setInterval(() => {
        watch.recordMetrics(performance.now());
        value.expire(performance.now());
      }, METRICS_INTERVAL_MS),
    ];
    return { value, stop: () => timers.forEach((timer) => clearInterval(timer)) };
  },
});
