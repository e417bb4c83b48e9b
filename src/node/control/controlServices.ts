import { createError } from '../errors';
import type { Service } from '../kernel';
import { createLedgerState } from '../ledger';
import { createPartLogger, type Logger } from '../log';
import { createSoloReplica } from '../replication';
import { createHttpServer, createRpcClient, registerRpc, startHttpServer } from '../rpc';
import type { ControlSettings } from '../settings';
import { createConfigState } from './configState';
import { registerAdminRoutes } from './adminApi';
import { createControlMethods, type ControlParts } from './controlApi';
import { createMembers, type Members } from './members';

const createGroupsService = (settings: ControlSettings): Service => ({
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

const createMembersService = (settings: ControlSettings): Service => ({
  name: 'members',
  needs: ['groups'],
  start: (find) => {
    const parts = find<ControlParts>('groups');
    const rpc = createRpcClient({ secret: settings.secrets.internal });
    const findLeaderAddress = (): string | undefined => {
      const { leader } = parts.config.status();
      return settings.peers.find((peer) => peer.node === leader)?.address;
    };
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

const createControlServerService = (settings: ControlSettings): Service => ({
  name: 'control-server',
  needs: ['groups', 'members', 'log'],
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
    registerRpc(
      app,
      createControlMethods(parts, find<Members>('members')),
      settings.secrets.internal,
    );
    registerAdminRoutes(app, parts, find<Members>('members'), operator);
    const address = await startHttpServer(app, settings.listen);
    parts.log.info({ address }, 'listening');
    return { value: address, stop: () => app.close() };
  },
});

/** The services of the `control` role. */
export const createControlServices = (settings: ControlSettings): readonly Service[] => [
  createGroupsService(settings),
  createMembersService(settings),
  createControlServerService(settings),
];
