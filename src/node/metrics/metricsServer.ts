import type { Service } from '../kernel';
import { createHttpServer, startHttpServer, type ListenAddress } from '../rpc';
import { registerMetrics, type Metrics } from './metrics';

/** Creates the service `metrics-server`, which serves `GET /metrics` on its own address. */
export const createMetricsService = (listen: ListenAddress): Service => ({
  name: 'metrics-server',
  dependencies: ['metrics'],
  start: async (find) => {
    const app = createHttpServer();
    registerMetrics(app, find<Metrics>('metrics'));
    const address = await startHttpServer(app, listen);
    return { value: { address }, stop: () => app.close() };
  },
});
