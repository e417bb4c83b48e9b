import type { Service } from '../kernel';
import { createLeaseClient, type LeaseClient } from '../lease';
import { createPartLogger, type Logger } from '../log';
import { registerMetrics, type Metrics } from '../metrics';
import {
  createHttpServer,
  createRpcClient,
  registerHealthRoutes,
  registerRpc,
  startHttpServer,
  type RpcClient,
} from '../rpc';
import { resolveRpcOptions, type AgentConfig } from '../settings';
import { createAnnouncementStore, type EngineAnnouncement } from './announcements';
import { createAttemptStore } from './attemptStore';
import { createAgentMethods, registerAnnounceRoute, registerAttemptRoutes } from './agentServer';

const createRpcService = (settings: AgentConfig): Service => ({
  name: 'rpc',
  needs: [],
  start: () => {
    const value = createRpcClient(resolveRpcOptions(settings));
    return { value, stop: value.close };
  },
});

const sendAnnouncement = async (
  rpc: RpcClient,
  lease: LeaseClient,
  settings: AgentConfig,
  announced: EngineAnnouncement,
  state: 'live' | 'leaving',
): Promise<boolean> => {
  const { endpoint, serves, service, slots, checksFencing } = announced;
  const host = settings.host ?? settings.node;
  const announcement = { endpoint, serves, service, slots, checksFencing, host, state };
  const params = { node: settings.node, incarnation: lease.incarnation(), announcement };
  const answer = await rpc.call(lease.controlAddress(), 'control.announce', params);
  return answer.isRight();
};

const createAgentService = (settings: AgentConfig): Service => ({
  name: 'agent',
  needs: ['rpc', 'log', 'metrics'],
  start: async (find) => {
    const rpc = find<RpcClient>('rpc');
    const log = createPartLogger(find<Logger>('log'), 'agent');
    const { node, zone, control, queueLimit } = settings;
    const metrics = find<Metrics>('metrics');
    const announcements = createAnnouncementStore(settings.announcementTimeoutMs);
    const host = settings.host ?? node;
    const lease = createLeaseClient({ node, role: 'agent', zone, host, control, rpc, log });
    const store = createAttemptStore({
      lease,
      announcements,
      queueLimit,
      log,
      recordOutcome: (outcome) => metrics.attempts.inc({ outcome }),
    });
    const internal = createHttpServer({ tls: settings.ports?.internal });
    const announcePort = createHttpServer();
    const sent = new Map<string, string>();

    const handleAnnouncement = (announced: EngineAnnouncement): void => {
      announcements.add(announced);
      const text = JSON.stringify(announced);
      if (sent.get(announced.endpoint) === text) return;
      sent.set(announced.endpoint, text);
      sendAnnouncement(rpc, lease, settings, announced, 'live').then((isSent) => {
        if (!isSent) sent.delete(announced.endpoint);
      });
    };

    const recordCall = (method: string, result: string): void =>
      metrics.calls.inc({ method, result });
    let isStopping = false;
    const isReady = (): boolean => lease.isValid() && !isStopping;
    registerRpc(internal, createAgentMethods(store), settings.secrets.internal, recordCall);
    registerHealthRoutes(internal, isReady);
    registerMetrics(internal, metrics);
    metrics.registerSource('queue', store.countQueued);
    metrics.registerSource('running', store.countRunning);
    metrics.registerSource('revision', lease.view.revision);
    metrics.registerSource('lease', () => Number(isReady()));
    registerAttemptRoutes(internal, store, settings.secrets.internal);
    registerAnnounceRoute(announcePort, handleAnnouncement);
    const address = await startHttpServer(internal, settings.listen);
    await lease.start(address);
    const announceAddress = await startHttpServer(announcePort, settings.announceListen);
    log.info({ address, announceAddress }, 'listening');

    const stop = async (): Promise<void> => {
      isStopping = true;
      const live = announcements.list();
      await Promise.all(
        live.map((item) => sendAnnouncement(rpc, lease, settings, item, 'leaving')),
      );
      await store.drain();
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
export const createAgentServices = (settings: AgentConfig): readonly Service[] => [
  createRpcService(settings),
  createAgentService(settings),
];
