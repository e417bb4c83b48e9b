import { createError } from '../errors';
import type { Service } from '../kernel';
import { createLedgerState } from '../ledger';
import { createPartLogger, type Logger } from '../log';
import { createReplicationHost, type ReplicationHost } from '../replication';
import { createHttpServer, createRpcClient, registerRpc, startHttpServer } from '../rpc';
import type { ControlSettings } from '../settings';
import { createConfigState } from './configState';
import { registerAdminRoutes } from './adminApi';
import { createControlMethods, type ControlParts } from './controlApi';
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

const createGroupsService = (settings: ControlSettings): Service => ({
  name: 'groups',
  needs: ['log', 'replication'],
  start: async (find) => {
    const configState = createConfigState();
    const ledgerState = createLedgerState();
    const replication = find<ReplicationHost>('replication');
    const config = await replication.openGroup('config', configState);
    const ledger = await replication.openGroup('ledger-0', ledgerState);
    const log = createPartLogger(find<Logger>('log'), 'control');
    const { leaseMs } = settings;
    const value: ControlParts = { config, configState, ledger, ledgerState, leaseMs, log };
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
    const value = createLedgerUpkeep(find<ControlParts>('groups'));
    value.start();
    return { value, stop: value.stop };
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
    const methods = {
      ...createControlMethods(parts, members),
      ...createPolicyMethods(find<PolicyService>('policy')),
      ...find<ReplicationHost>('replication').methods,
    };
    registerRpc(app, methods, settings.secrets.internal);
    registerAdminRoutes(app, parts, members, operator);
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
