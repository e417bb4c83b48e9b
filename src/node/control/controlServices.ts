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
  dependencies: ['rpc', 'log'],
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
  dependencies: ['log', 'replication'],
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

const hasLeader = (context: ControlContext): boolean => context.config.status().leader !== '';

const registerControlMetrics = (metrics: Metrics, context: ControlContext): void => {
  const { config, ledger, configState } = context;
  metrics.registerSource('configCommitted', () => config.status().committed);
  metrics.registerSource('ledgerCommitted', () => ledger.status().committed);
  metrics.registerSource('leader', () => Number(config.status().role === 'leader'));
  metrics.registerSource('nodes', () => configState.listNodes().length);
};

const createLeaderFinder =
  (context: ControlContext, settings: ControlConfig) => (): string | undefined => {
    const { leader, leaderAddress } = context.config.status();
    return leader === settings.node || leader === '' ? undefined : leaderAddress;
  };

const createMembersService = (settings: ControlConfig): Service => ({
  name: 'members',
  dependencies: ['groups', 'rpc'],
  start: (find) => {
    const context = find<ControlContext>('groups');
    const rpc = find<RpcClient>('rpc');
    const findLeaderAddress = createLeaderFinder(context, settings);
    const value = createMembership({ context, rpc, findLeaderAddress });
    value.start();
    return { value, stop: value.stop };
  },
});

const createPolicyControlService = (settings: ControlConfig): Service => ({
  name: 'policy',
  dependencies: ['groups', 'rpc'],
  start: (find) => {
    const context = find<ControlContext>('groups');
    const rpc = find<RpcClient>('rpc');
    const findLeaderAddress = createLeaderFinder(context, settings);
    const value = createPolicyService({ context, rpc, findLeaderAddress });
    value.start();
    return { value, stop: value.stop };
  },
});

const createMaintenanceService = (): Service => ({
  name: 'ledger-upkeep',
  dependencies: ['groups', 'rpc'],
  start: (find) => {
    const context = find<ControlContext>('groups');
    const rpc = find<RpcClient>('rpc');
    const maintenanceTasks = context.ledgerShards.map((shard) =>
      createLedgerMaintenance(context, shard, rpc),
    );
    maintenanceTasks.forEach((task) => task.start());
    return {
      value: maintenanceTasks,
      stop: () => maintenanceTasks.forEach((task) => task.stop()),
    };
  },
});

const createControlServerService = (settings: ControlConfig): Service => ({
  name: 'control-server',
  dependencies: ['groups', 'members', 'policy', 'replication', 'rpc', 'metrics'],
  start: async (find) => {
    const context = find<ControlContext>('groups');
    const { operator } = settings.secrets;
    if (operator === undefined) {
      throw createError({
        type: 'invalid_request',
        message: "missing setting 'secrets.operator': a control host requires it",
        step: 'control.start',
      });
    }
    const members = find<Membership>('members');
    const replication = find<ReplicationHost>('replication');
    const methods = {
      ...createControlMethods(context, members),
      ...createPolicyMethods(find<PolicyService>('policy')),
      ...replication.methods,
    };
    const metrics = find<Metrics>('metrics');
    const internalServer = createInternalServer({
      methods,
      secret: settings.secrets.internal,
      tls: settings.portTls?.internal,
      metrics,
      isReady: () => hasLeader(context),
      readRevision: context.configState.revision,
    });
    registerControlMetrics(metrics, context);
    const { operatorListen } = settings;
    const operatorServer = operatorListen
      ? createHttpServer({ tls: settings.portTls?.operators })
      : internalServer;
    const rpc = find<RpcClient>('rpc');
    registerReplaceRoute(operatorServer, replication, operator);
    registerAdminRoutes(operatorServer, {
      context,
      members,
      rpc,
      host: settings.node,
      secret: operator,
    });
    const address = await startHttpServer(internalServer, settings.listen);
    const operatorAddress = operatorListen
      ? await startHttpServer(operatorServer, operatorListen)
      : address;
    context.log.info({ address, operatorAddress }, 'listening');
    const stop = async (): Promise<void> => {
      if (operatorListen) await operatorServer.close();
      await internalServer.close();
    };
    return { value: { address, operatorAddress }, stop };
  },
});

/** Listen addresses of a started control host. */
export interface ControlAddresses {
  readonly address: string;
  readonly operatorAddress: string;
}

/** Creates the services of the `control` role. */
export const createControlServices = (settings: ControlConfig): readonly Service[] => [
  createRpcService(resolveRpcOptions(settings)),
  createReplicationService(settings),
  createGroupsService(settings),
  createMembersService(settings),
  createPolicyControlService(settings),
  createMaintenanceService(),
  createControlServerService(settings),
];
