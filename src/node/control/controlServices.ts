import { createError } from '../errors';
import type { Service } from '../kernel';
import { createLedgerState } from '../ledger';
import { createPartLogger, type Logger } from '../log';
import { createReplicationHost, registerReplaceRoute, type ReplicationHost } from '../replication';
import { createHttpServer, createRpcClient, registerRpc, startHttpServer } from '../rpc';
import type { ControlSettings } from '../settings';
import { createConfigState } from './configState';
import { registerAdminRoutes } from './adminApi';
import { createControlMethods, type ControlParts } from './controlApi';
import {
  checkShardCount,
  createShardedLedger,
  createShardedReads,
  formatLedgerGroup,
  type LedgerShard,
} from './ledgerShards';
import { createLedgerUpkeep } from './ledgerUpkeep';
import { createMembers, type Members } from './members';
import { createPolicyMethods, createPolicyService, type PolicyService } from './policy';

const DISK_FAILURE_EXIT = 1;

const createReplicationService = (settings: ControlSettings): Service => ({
  name: 'replication',
  needs: ['log'],
  start: (find) => {
    const log = createPartLogger(find<Logger>('log'), 'replication');
    const { node, peers, data, secrets } = settings;
    checkShardCount(data, settings.ledgerShards);
    const value = createReplicationHost({
      node,
      peers,
      data,
      log,
      rpc: createRpcClient({ secret: secrets.internal }),
      handleFailure: (cause) => {
        log.fatal({ err: cause }, 'a write failed, the process ends');
        process.exit(DISK_FAILURE_EXIT);
      },
    });
    return { value, stop: value.stop };
  },
});

const openLedgerShards = async (
  replication: ReplicationHost,
  settings: ControlSettings,
): Promise<readonly LedgerShard[]> => {
  const shards: LedgerShard[] = [];
  for (let shard = 0; shard < settings.ledgerShards; shard += 1) {
    const state = createLedgerState();
    const replica = await replication.openGroup(formatLedgerGroup(shard), state);
    shards.push({ replica, state });
  }
  return shards;
};

const createGroupsService = (settings: ControlSettings): Service => ({
  name: 'groups',
  needs: ['log', 'replication'],
  start: async (find) => {
    const configState = createConfigState();
    const replication = find<ReplicationHost>('replication');
    const config = await replication.openGroup('config', configState);
    const ledgerShards = await openLedgerShards(replication, settings);
    const log = createPartLogger(find<Logger>('log'), 'control');
    const { leaseMs } = settings;
    const value: ControlParts = {
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

const createFindLeader =
  (parts: ControlParts, settings: ControlSettings) => (): string | undefined => {
    const { leader, leaderAddress } = parts.config.status();
    return leader === settings.node || leader === '' ? undefined : leaderAddress;
  };

const createMembersService = (settings: ControlSettings): Service => ({
  name: 'members',
  needs: ['groups'],
  start: (find) => {
    const parts = find<ControlParts>('groups');
    const rpc = createRpcClient({ secret: settings.secrets.internal });
    const findLeaderAddress = createFindLeader(parts, settings);
    const value = createMembers({ parts, rpc, findLeaderAddress });
    value.start();
    return {
      value,
      stop: async () => {
        value.stop();
        await rpc.close();
      },
    };
  },
});

const createPolicyControlService = (settings: ControlSettings): Service => ({
  name: 'policy',
  needs: ['groups'],
  start: (find) => {
    const parts = find<ControlParts>('groups');
    const rpc = createRpcClient({ secret: settings.secrets.internal });
    const findLeaderAddress = createFindLeader(parts, settings);
    const value = createPolicyService({ parts, rpc, findLeaderAddress });
    value.start();
    return {
      value,
      stop: async () => {
        value.stop();
        await rpc.close();
      },
    };
  },
});

const createUpkeepService = (): Service => ({
  name: 'ledger-upkeep',
  needs: ['groups'],
  start: (find) => {
    const parts = find<ControlParts>('groups');
    const upkeeps = parts.ledgerShards.map((shard) => createLedgerUpkeep(parts, shard));
    upkeeps.forEach((upkeep) => upkeep.start());
    return { value: upkeeps, stop: () => upkeeps.forEach((upkeep) => upkeep.stop()) };
  },
});

const createControlServerService = (settings: ControlSettings): Service => ({
  name: 'control-server',
  needs: ['groups', 'members', 'policy', 'replication'],
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
    const app = createHttpServer();
    const members = find<Members>('members');
    const replication = find<ReplicationHost>('replication');
    const methods = {
      ...createControlMethods(parts, members),
      ...createPolicyMethods(find<PolicyService>('policy')),
      ...replication.methods,
    };
    registerRpc(app, methods, settings.secrets.internal);
    registerAdminRoutes(app, parts, members, operator);
    registerReplaceRoute(app, replication, operator);
    const address = await startHttpServer(app, settings.listen);
    parts.log.info({ address }, 'listening');
    return { value: address, stop: () => app.close() };
  },
});

/** The services of the `control` role. */
export const createControlServices = (settings: ControlSettings): readonly Service[] => [
  createReplicationService(settings),
  createGroupsService(settings),
  createMembersService(settings),
  createPolicyControlService(settings),
  createUpkeepService(),
  createControlServerService(settings),
];
