import type { Service } from '../kernel';
import { createLeaseClient } from '../lease';
import { createLedgerClient } from '../ledger';
import { createPartLogger, type Logger } from '../log';
import { createInternalServer, type Metrics } from '../metrics';
import { createHttpServer, createRpcService, startHttpServer, type RpcClient } from '../rpc';
import { resolveRpcOptions, type AgentConfig } from '../settings';
import { createAnnouncementStore } from './announcements';
import { createEndpointAnnouncer } from './endpointAnnouncer';
import { createEndpointReconciler } from './endpointReconciler';
import { createAttemptStore } from './attemptStore';
import { createUsageReporter, type UsageReporter } from './usageReporter';
import { createAgentMethods, registerAnnounceRoute, registerAttemptRoutes } from './agentServer';

const createRecordingReporter = (
  reporter: Pick<UsageReporter, 'add'>,
  metrics: Metrics,
): Pick<UsageReporter, 'add'> => ({
  add: (request, outcome, counts) => {
    metrics.attempts.inc({ outcome });
    reporter.add(request, outcome, counts);
  },
});

const createAgentService = (settings: AgentConfig): Service => ({
  name: 'agent',
  dependencies: ['rpc', 'log', 'metrics'],
  start: async (find) => {
    const rpc = find<RpcClient>('rpc');
    const log = createPartLogger(find<Logger>('log'), 'agent');
    const { node, zone, control, queueLimit, bufferBytes } = settings;
    const metrics = find<Metrics>('metrics');
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
      reporter: createRecordingReporter(reporter, metrics),
      log,
    });
    const announceServer = createHttpServer();
    const announcer = createEndpointAnnouncer({ node, host, lease, announcements, rpc, log });
    const hasWork = (): boolean => store.countActive() > 0;
    const reconciler = createEndpointReconciler({ node, lease, announcements, rpc, log, hasWork });

    let isStopping = false;
    const isReady = (): boolean => lease.isValid() && !isStopping;
    const internalServer = createInternalServer({
      methods: createAgentMethods(store),
      secret: settings.secrets.internal,
      tls: settings.portTls?.internal,
      metrics,
      isReady,
      readRevision: lease.view.revision,
    });
    metrics.registerSource('queue', store.countQueued);
    metrics.registerSource('running', () => store.countActive() - store.countQueued());
    registerAttemptRoutes(internalServer, store, settings.secrets.internal);
    registerAnnounceRoute(announceServer, announcements.add);
    const address = await startHttpServer(internalServer, settings.listen);
    await lease.start(settings.advertise ?? address);
    const announceAddress = await startHttpServer(announceServer, settings.announceListen);
    reporter.start();
    announcer.start();
    reconciler.start();
    log.info({ address, announceAddress }, 'listening');

    const stop = async (): Promise<void> => {
      isStopping = true;
      await reconciler.stop();
      await announcer.stop();
      await store.drain();
      await reporter.stop();
      await lease.stop();
      await announceServer.close();
      await internalServer.close();
    };
    return { value: { address, announceAddress }, stop };
  },
});

/** Addresses of a started agent. */
export interface AgentAddresses {
  readonly address: string;
  readonly announceAddress: string;
}

/** Creates the services of the `agent` role. */
export const createAgentServices = (settings: AgentConfig): readonly Service[] => [
  createRpcService(resolveRpcOptions(settings)),
  createAgentService(settings),
];
