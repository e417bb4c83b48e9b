import type { Service } from '../kernel';
import { createLeaseClient, type LeaseClient } from '../lease';
import { createPartLogger, type Logger } from '../log';
import {
  createHttpServer,
  createRpcClient,
  registerRpc,
  startHttpServer,
  type RpcClient,
} from '../rpc';
import type { AgentSettings } from '../settings';
import { createAnnouncementStore, type EngineAnnouncement } from './announcements';
import { createAttemptStore } from './attemptStore';
import { createAgentMethods, registerAnnounceRoute, registerAttemptRoutes } from './agentServer';

const createRpcService = (settings: AgentSettings): Service => ({
  name: 'rpc',
  needs: [],
  start: () => {
    const value = createRpcClient({ secret: settings.secrets.internal });
    return { value, stop: value.close };
  },
});

const sendAnnouncement = async (
  rpc: RpcClient,
  lease: LeaseClient,
  settings: AgentSettings,
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

const createAgentService = (settings: AgentSettings): Service => ({
  name: 'agent',
  needs: ['rpc', 'log'],
  start: async (find) => {
    const rpc = find<RpcClient>('rpc');
    const log = createPartLogger(find<Logger>('log'), 'agent');
    const { node, zone, control, queueLimit } = settings;
    const announcements = createAnnouncementStore(settings.announcementTimeoutMs);
    const lease = createLeaseClient({ node, role: 'agent', zone, control, rpc, log });
    const store = createAttemptStore({ lease, announcements, queueLimit, log });
    const internal = createHttpServer();
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

    registerRpc(internal, createAgentMethods(store), settings.secrets.internal);
    registerAttemptRoutes(internal, store, settings.secrets.internal);
    registerAnnounceRoute(announcePort, handleAnnouncement);
    const address = await startHttpServer(internal, settings.listen);
    await lease.start(settings.advertise ?? address);
    const announceAddress = await startHttpServer(announcePort, settings.announceListen);
    log.info({ address, announceAddress }, 'listening');

    const stop = async (): Promise<void> => {
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
export const createAgentServices = (settings: AgentSettings): readonly Service[] => [
  createRpcService(settings),
  createAgentService(settings),
];
