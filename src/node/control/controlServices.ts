import { createError } from '../errors';
import type { Service } from '../kernel';
import { createLedgerState } from '../ledger';
import { createPartLogger, type Logger } from '../log';
import { registerMetrics, type Metrics } from '../metrics';
import { createSoloReplica } from '../replication';
import {
  createHttpServer,
  createRpcClient,
  registerHealthRoutes,
  registerRpc,
  startHttpServer,
  type RpcClient,
} from '../rpc';
import { resolveRpcOptions, type ControlConfig } from '../settings';
import { createConfigState } from './configState';
import { registerAdminRoutes } from './adminApi';
import { createControlMethods, type ControlParts } from './controlApi';
import { createMembers, type Members } from './members';

const createGroupsService = (settings: ControlConfig): Service => ({
  name: 'groups',
  needs: ['log'],
  start: (find) => {
    const configState = createConfigState();
    const ledgerState = createLedgerState();
    const config = createSoloReplica('config', configState);
    const ledger = createSoloReplica('ledger-0', ledgerState);
    const log = createPartLogger(find<Logger>('log'), 'control');
    const { leaseMs } = settings;
    const value: ControlParts = { config, configState, ledger, ledgerState, leaseMs, log };
    return {
      value,
      stop: async () => {
        await config.stop();
        await ledger.stop();
      },
    };
  },
});

const createRpcService = (settings: ControlConfig): Service => ({
  name: 'rpc',
  needs: [],
  start: () => {
    const value = createRpcClient(resolveRpcOptions(settings));
    return { value, stop: value.close };
  },
});

const hasLeader = (parts: ControlParts): boolean => parts.config.status().leader !== '';

const registerControlMetrics = (metrics: Metrics, parts: ControlParts): void => {
  const { config, ledger, configState } = parts;
  metrics.registerSource('configCommitted', () => config.status().committed);
  metrics.registerSource('ledgerCommitted', () => ledger.status().committed);
  metrics.registerSource('leader', () => Number(config.status().role === 'leader'));
  metrics.registerSource('nodes', () => configState.listNodes().length);
  metrics.registerSource('revision', configState.revision);
  metrics.registerSource('lease', () => Number(hasLeader(parts)));
};

const createMembersService = (settings: ControlConfig): Service => ({
  name: 'members',
  needs: ['groups', 'rpc'],
  start: (find) => {
    const parts = find<ControlParts>('groups');
    const rpc = find<RpcClient>('rpc');
    const findLeaderAddress = (): string | undefined => {
      const { leader } = parts.config.status();
      return settings.peers.find((peer) => peer.node === leader)?.address;
    };
    const value = createMembers({ parts, rpc, findLeaderAddress });
    value.start();
    return { value, stop: value.stop };
  },
});

const createControlServerService = (settings: ControlConfig): Service => ({
  name: 'control-server',
  needs: ['groups', 'members', 'rpc', 'log', 'metrics'],
  start: async (find) => {
    const parts = find<ControlParts>('groups');
    const { operator } = settings.secrets;
    if (operator === undefined) {
      throw createError({
        type: 'invalid_request',
        message: 'secrets.operator is missing',
        step: 'control.start',
      });
    }
    const members = find<Members>('members');
    const rpc = find<RpcClient>('rpc');
    const adminParts = { parts, members, rpc, host: settings.node, secret: operator };
    const internal = createHttpServer({ tls: settings.ports?.internal });
    const metrics = find<Metrics>('metrics');
    const recordCall = (method: string, result: string): void =>
      metrics.calls.inc({ method, result });
    const methods = createControlMethods(parts, members);
    registerRpc(internal, methods, settings.secrets.internal, recordCall);
    registerHealthRoutes(internal, () => hasLeader(parts));
    registerMetrics(internal, metrics);
    registerControlMetrics(metrics, parts);
    const { operatorListen } = settings;
    const operators = operatorListen
      ? createHttpServer({ tls: settings.ports?.operators })
      : internal;
    registerAdminRoutes(operators, adminParts);
    const address = await startHttpServer(internal, settings.listen);
    const operatorAddress = operatorListen
      ? await startHttpServer(operators, operatorListen)
      : address;
    parts.log.info({ address, operatorAddress }, 'listening');
    const stop = async (): Promise<void> => {
      await internal.close();
      if (operatorListen) await operators.close();
    };
    return { value: { address, operatorAddress }, stop };
  },
});

/** Addresses of a started control host. */
export interface ControlAddresses {
  readonly address: string;
  readonly operatorAddress: string;
}

/** The services of the `control` role. */
export const createControlServices = (settings: ControlConfig): readonly Service[] => [
  createRpcService(settings),
  createGroupsService(settings),
  createMembersService(settings),
  createControlServerService(settings),
];
