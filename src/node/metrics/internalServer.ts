import type { FastifyInstance } from 'fastify';
import {
  createHttpServer,
  registerHealthRoutes,
  registerRpc,
  type RpcMethods,
  type TlsCredentials,
} from '../rpc';
import { registerMetrics, type Metrics } from './metrics';

/** What every process serves on its internal port. */
export interface InternalServerOptions {
  readonly methods: RpcMethods;
  readonly secret: string;
  readonly tls: TlsCredentials | undefined;
  readonly metrics: Metrics;
  readonly isReady: () => boolean;
  /** Revision of the configuration that this process has. */
  readonly readRevision: () => number;
}

/** Creates the internal port of a process: calls, `/livez`, `/readyz`, `/metrics`. */
export const createInternalServer = (options: InternalServerOptions): FastifyInstance => {
  const { methods, secret, tls, metrics, isReady, readRevision } = options;
  const app = createHttpServer({ tls });
  registerRpc(app, methods, secret, (method, result) => metrics.calls.inc({ method, result }));
  registerHealthRoutes(app, isReady);
  registerMetrics(app, metrics);
  metrics.registerSource('revision', readRevision);
  metrics.registerSource('lease', () => Number(isReady()));
  return app;
};
