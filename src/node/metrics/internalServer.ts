import type { FastifyInstance } from 'fastify';
import {
  createHttpServer,
  registerHealthRoutes,
  registerRpc,
  type RpcMethods,
  type TlsCredentials,
} from '../rpc';
import { registerMetrics, type Metrics } from './metrics';

/** Options of the server on the internal port of a process. */
export interface InternalServerOptions {
  readonly methods: RpcMethods;
  readonly secret: string;
  readonly tls: TlsCredentials | undefined;
  readonly metrics: Metrics;
  readonly isReady: () => boolean;
  /** Reads the configuration revision that this process holds. */
  readonly readRevision: () => number;
}

/** Creates the server on the internal port: RPC calls, `/livez`, `/readyz` and `/metrics`. */
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
