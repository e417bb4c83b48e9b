import { createError } from '../errors';
import type { Service } from '../kernel';
import { createLedgerState } from '../ledger';
import { createPartLogger, type Logger } from '../log';
import { createInternalServer, type Metrics } from '../metrics';
import {
  createDiskFailureHandler,
  createReplicationHost,
  registerReplaceRoute,
  type ReplicationHost,
} from '../replication';
import { createHttpServer, createRpcService, startHttpServer, type RpcClient } from '../rpc';
import { resolveRpcOptions, type ControlConfig } from '../settings';
import { createConfigState } from './configState';
import { registerAdminRoutes } from './adminApi';
import { createControlMethods } from './controlApi';
import type { ControlContext } from './controlContext';
import {
  checkShardCount,
  createShardedLedger,
  createShardedReads,
  formatLedgerGroup,
  type LedgerShard,
} from './ledgerShards';
import { createLedgerMaintenance } from './ledgerMaintenance';
import { createMembership, type Membership } from './members';
import { createPolicyMethods, createPolicyService, type PolicyService } from './policy';

const createReplicationService = (settings: ControlConfig): Service => ({
  name: 'replication',
  needs: ['rpc', 'log'],
  start: (find) => {
    const log = createPartLogger(find<Logger>('log'), 'replication');
    const { node, peers, data } = settings;
    checkShardCount(data, settings.ledgerShards);
    const value = createReplicationHost({
      node,
      peers,
      data,
      log,
      rpc: find<RpcClient>('rpc'),
      handleFailure: createDiskFailureHandler(log),
    });
    return { value, stop: value.stop };
  },
});

const openLedgerShards = async (
  replication: ReplicationHost,
  settings: ControlConfig,
): Promise<readonly LedgerShard[]> => {
  const shards: LedgerShard[] = [];
  for (let shard = 0; shard < settings.ledgerShards; shard += 1) {
    const state = createLedgerState();
    const replica = await replication.openGroup(formatLedgerGroup(shard), state);
    shards.push({ replica, state });
  }
  return shards;
};

const createGroupsService = (settings: ControlConfig): Service => ({
  name: 'groups',
  needs: ['log', 'replication'],
  start: async (find) => {
    const configState = createConfigState();
    const replication = find<ReplicationHost>('replication');
    const config = await replication.openGroup('config', configState);
    const ledgerShards = await openLedgerShards(replication, settings);
    const log = createPartLogger(find<Logger>('log'), 'control');
    const { leaseMs } = settings;
    const value: ControlContext = {
      config,
      configState,
      ledgerShards,
      ledger: createShardedLedger(ledgerShards),
      ledgerState: createShardedReads(ledgerShards),
      leaseMs,
      log,
    };
    return { value };
  },
});

const hasLeader = (parts: ControlContext): boolean => parts.config.status().leader !== '';

const registerControlMetrics = (metrics: Metrics, parts: ControlContext): void => {
  const { config, ledger, configState } = parts;
  metrics.registerSource('configCommitted', () => config.status().committed);
  metrics.registerSource('ledgerCommitted', () => ledger.status().committed);
  metrics.registerSource('leader', () => Number(config.status().role === 'leader'));
  metrics.registerSource('nodes', () => configState.listNodes().length);
};

const createLeaderFinder =
  (parts: ControlContext, settings: ControlConfig) => (): string | undefined => {
    const { leader, leaderAddress } = parts.config.status();
    return leader === settings.node || leader === '' ? undefined : leaderAddress;
  };

const createMembersService = (settings: ControlConfig): Service => ({
  name: 'members',
  needs: ['groups', 'rpc'],
  start: (find) => {
    const parts = find<ControlContext>('groups');
    const rpc = find<RpcClient>('rpc');
    const findLeaderAddress = createLeaderFinder(parts, settings);
    const value = createMembership({ parts, rpc, findLeaderAddress });
    value.start();
    return { value, stop: value.stop };
  },
});

const createPolicyControlService = (settings: ControlConfig): Service => ({
  name: 'policy',
  needs: ['groups', 'rpc'],
  start: (find) => {
    const parts = find<ControlContext>('groups');
    const rpc = find<RpcClient>('rpc');
    const findLeaderAddress = createLeaderFinder(parts, settings);
    const value = createPolicyService({ parts, rpc, findLeaderAddress });
    value.start();
    return { value, stop: value.stop };
  },
});

const createMaintenanceService = (): Service => ({
  name: 'ledger-upkeep',
  needs: ['groups', 'rpc'],
  start: (find) => {
    const parts = find<ControlContext>('groups');
    const rpc = find<RpcClient>('rpc');
    const maintenanceTasks = parts.ledgerShards.map((shard) =>
      createLedgerMaintenance(parts, shard, rpc),
    );
    maintenanceTasks.forEach((upkeep) => upkeep.start());
    return {
      value: maintenanceTasks,
      stop: () => maintenanceTasks.forEach((upkeep) => upkeep.stop()),
    };
  },
});

const createControlServerService = (settings: ControlConfig): Service => ({
  name: 'control-server',
  needs: ['groups', 'members', 'policy', 'replication', 'rpc', 'metrics'],
  start: async (find) => {
    const parts = find<ControlContext>('groups');
    const { operator } = settings.secrets;
    if (operator === undefined) {
      throw createError({
        type: 'invalid_request',
        message: 'secrets.operator is missing',
        step: 'control.start',
      });
    }
    const members = find<Membership>('members');
    const replication = find<ReplicationHost>('replication');
    const methods = {
      ...createControlMethods(parts, members),
      ...createPolicyMethods(find<PolicyService>('policy')),
      ...replication.methods,
    };
    const metrics = find<Metrics>('metrics');
    const internal = createInternalServer({
      methods,
      secret: settings.secrets.internal,
      tls: settings.ports?.internal,
      metrics,
      isReady: () => hasLeader(parts),
      readRevision: parts.configState.revision,
    });
    registerControlMetrics(metrics, parts);
    const { operatorListen } = settings;
    const operators = operatorListen
      ? createHttpServer({ tls: settings.ports?.operators })
      : internal;
    const rpc = find<RpcClient>('rpc');
    registerReplaceRoute(operators, replication, operator);
    registerAdminRoutes(operators, { parts, members, rpc, host: settings.node, secret: operator });
    const address = await startHttpServer(internal, settings.listen);
    const operatorAddress = operatorListen
      ? await startHttpServer(operators, operatorListen)
      : address;
    parts.log.info({ address, operatorAddress }, 'listening');
    const stop = async (): Promise<void> => {
      if (operatorListen) await operators.close();
      await internal.close();
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
  createRpcService(resolveRpcOptions(settings)),
  createReplicationService(settings),
  createGroupsService(settings),
  createMembersService(settings),
  createPolicyControlService(settings),
  createMaintenanceService(),
  createControlServerService(settings),
];
