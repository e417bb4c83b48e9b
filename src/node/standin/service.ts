import { createHttpServer, startHttpServer, type ListenAddress } from '../rpc';
import { startAnnouncing } from './standinServer';

/** Options of a stand-in plain service. */
export interface StandinServiceOptions {
  readonly endpoint: string;
  readonly service: string;
  readonly listen: ListenAddress;
  readonly agentAddress: string;
  readonly slots?: number;
}

/** A call recorded by the stand-in service. */
export interface StandinCall {
  readonly requestId: string;
  readonly attempt: string;
  readonly method: string;
  readonly path: string;
  readonly body: string;
  readonly output: string;
  /** Wall-clock time in milliseconds at which the call arrived. */
  readonly startedAt: number;
}

/** A running stand-in service. */
export interface StandinService {
  readonly address: string;
  readonly listCalls: () => readonly StandinCall[];
  readonly stop: () => Promise<void>;
}

const SERVICE_SLOTS = 32;

/** Starts a plain service that answers and records every call. */
export const startStandinService = async (
  options: StandinServiceOptions,
): Promise<StandinService> => {
  const calls: StandinCall[] = [];
  const app = createHttpServer();
  app.removeAllContentTypeParsers();
  app.addContentTypeParser('*', { parseAs: 'string' }, (_request, body, done) => done(null, body));
  app.get('/record', async () => ({ calls }));
  app.all('/*', async (request, reply) => {
    const body = typeof request.body === 'string' ? request.body : '';
    const number = calls.length + 1;
    const output = JSON.stringify({ service: options.service, path: request.url, number, body });
    calls.push({
      requestId: String(request.headers['x-request-id'] ?? ''),
      attempt: String(request.headers['x-attempt'] ?? '0'),
      method: request.method,
      path: request.url,
      body,
      output,
      startedAt: Date.now(),
    });
    return reply.header('content-type', 'application/json').send(output);
  });
  const address = await startHttpServer(app, options.listen);
  const { endpoint, service, slots = SERVICE_SLOTS } = options;
  const stopAnnouncing = startAnnouncing(options.agentAddress, () => ({
    endpoint,
    address,
    service,
    slots,
    checksFencing: false,
  }));
  return {
    address,
    listCalls: () => calls,
    stop: async () => {
      stopAnnouncing();
      await app.close();
    },
  };
};
