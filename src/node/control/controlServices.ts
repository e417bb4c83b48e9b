import { createError } from '../errors';
import type { Service } from '../kernel';
import { createLedgerState } from '../ledger';
import { createPartLogger, type Logger } from '../log';
import { createSoloReplica } from '../replication';
import { createHttpServer, registerRpc, startHttpServer } from '../rpc';
import type { ControlSettings } from '../settings';
import { createConfigState } from './configState';
import { registerAdminRoutes } from './adminApi';
import { createControlMethods, type ControlParts } from './controlApi';

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

const createControlServerService = (settings: ControlSettings): Service => ({
  name: 'control-server',
  needs: ['groups', 'log'],
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
    registerRpc(app, createControlMethods(parts), settings.secrets.internal);
    registerAdminRoutes(app, parts, operator);
    const address = await startHttpServer(app, settings.listen);
    parts.log.info({ address }, 'listening');
    return { value: address, stop: () => app.close() };
  },
});

/** The services of the `control` role. */
export const createControlServices = (settings: ControlSettings): readonly Service[] => [
  createGroupsService(settings),
  createControlServerService(settings),
];
