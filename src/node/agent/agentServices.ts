import type { Service } from '../kernel';
import { createLeaseClient } from '../lease';
import { createLedgerClient } from '../ledger';
import { createPartLogger, type Logger } from '../log';
import {
  createHttpServer,
  createRpcClient,
  registerRpc,
  startHttpServer,
  type RpcClient,
} from '../rpc';
import type { AgentSettings } from '../settings';
import { createAnnouncementStore } from './announcements';
import { createEndpointAnnouncer } from './endpointAnnouncer';
import { createOrders } from './orders';
import { createAttemptStore } from './attemptStore';
import { createUsageReporter } from './usageReporter';
import { createAgentMethods, registerAnnounceRoute, registerAttemptRoutes } from './agentServer';

const createRpcService = (settings: AgentSettings): Service => ({
  name: 'rpc',
  needs: [],
  start: () => {
    const value = createRpcClient({ secret: settings.secrets.internal });
    return { value, stop: value.close };
  },
});

const createAgentService = (settings: AgentSettings): Service => ({
  name: 'agent',
  needs: ['rpc', 'log'],
  start: async (find) => {
    const rpc = find<RpcClient>('rpc');
    const log = createPartLogger(find<Logger>('log'), 'agent');
    const { node, zone, control, queueLimit, bufferBytes } = settings;
    const announcements = createAnnouncementStore(settings.announcementTimeoutMs);
    const host = settings.host ?? node;
    const lease = createLeaseClient({ node, role: 'agent', zone, host, control, rpc, log });
    const ledger = createLedgerClient(rpc, lease);
    const reporter = createUsageReporter({ node, ledger, view: lease.view, log });
    const store = createAttemptStore({
      lease,
      announcements,
      queueLimit,
      bufferBytes,
      reporter,
      log,
    });
    const internal = createHttpServer();
    const announcePort = createHttpServer();
    const announcer = createEndpointAnnouncer({ node, host, lease, announcements, rpc, log });
    const hasWork = (): boolean => store.countActive() > 0;
    const orders = createOrders({ node, lease, announcements, rpc, log, hasWork });

    registerRpc(internal, createAgentMethods(store), settings.secrets.internal);
    registerAttemptRoutes(internal, store, settings.secrets.internal);
    registerAnnounceRoute(announcePort, announcements.add);
    const address = await startHttpServer(internal, settings.listen);
    await lease.start(settings.advertise ?? address);
    const announceAddress = await startHttpServer(announcePort, settings.announceListen);
    reporter.start();
    announcer.start();
    orders.start();
    log.info({ address, announceAddress }, 'listening');

    const stop = async (): Promise<void> => {
      await orders.stop();
      await announcer.stop();
      await store.drain();
      await reporter.stop();
      await lease.stop();
      await announcePort.close();
      await internal.close();
    };
    return { value: { address, announceAddress }, stop };
  },
});

/** Addresses of a started agent. */
export interface AgentAddresses {
  readonly address: string;
  readonly announceAddress: string;
}

/** The services of the `agent` role. */
export const createAgentServices = (settings: AgentSettings): readonly Service[] => [
  createRpcService(settings),
  createAgentService(settings),
];
