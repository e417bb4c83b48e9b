import { randomBytes } from 'node:crypto';
import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { createAgentServices, type AgentAddresses } from '../agent';
import { createControlServices } from '../control';
import { createEntryServices, type EntryAddresses } from '../entry';
import { createKernel, type Kernel, type Service } from '../kernel';
import type { Logger } from '../log';
import { createMetrics } from '../metrics';
import { createRpcClient } from '../rpc';
import { agentSettingsSchema, controlSettingsSchema, entrySettingsSchema } from '../settings';
import {
  startStandinEngine,
  startStandinService,
  type StandinEngine,
  type StandinService,
} from '../standin';
import { createDevInventory } from './devInventory';

/** Options of the quick start. */
export interface DevOptions {
  readonly port: number;
  readonly data?: string;
  readonly log: Logger;
}

/** The running quick start. */
export interface Dev {
  readonly address: string;
  readonly controlAddress: string;
  readonly operatorSecret: string;
  /** Addresses of the stand-ins, whose records tests read. */
  readonly engineAddress: string;
  readonly serviceAddress: string;
  /** Every port that the roles listen on. */
  readonly ports: readonly string[];
  readonly stop: () => Promise<void>;
}

const HOST = '127.0.0.1';
const ZONE = 'dev-zone';
const FREE_PORT = { host: HOST, port: 0 } as const;
const SECRET_BYTES = 16;
const DEV_ENDPOINTS = 2;
const READY_POLL_MS = 20;

interface DevContext {
  readonly options: DevOptions;
  readonly secrets: { readonly internal: string; readonly operator: string };
  readonly data: string;
}

const createLogService = (log: Logger): Service => ({
  name: 'log',
  needs: [],
  start: () => ({ value: log }),
});

const createMetricsService = (): Service => ({
  name: 'metrics',
  needs: [],
  start: () => ({ value: createMetrics() }),
});

// Each role runs in a kernel of its own, so that its services find each other by the same names
// as in a process of its own.
const createRoleService = (
  context: DevContext,
  name: string,
  needs: readonly string[],
  resolveServices: (controlAddress: string) => readonly Service[],
  main: string,
): Service => ({
  name,
  needs,
  start: async (find) => {
    const control = needs.includes('control') ? find<string>('control') : '';
    const { log } = context.options;
    const shared = [createLogService(log), createMetricsService()];
    const kernel: Kernel = createKernel([...shared, ...resolveServices(control)]);
    await kernel.start();
    return { value: kernel.find(main), stop: kernel.stop };
  },
});

const createControl = (context: DevContext): Service => {
  const settings = controlSettingsSchema.parse({
    node: 'control-1',
    zone: ZONE,
    listen: FREE_PORT,
    secrets: context.secrets,
    data: join(context.data, 'control-1'),
    peers: [{ node: 'control-1', address: `${HOST}:0` }],
  });
  return createRoleService(
    context,
    'control',
    [],
    () => createControlServices(settings),
    'control-server',
  );
};

const createAgent = (context: DevContext, name: string): Service => {
  const resolveServices = (control: string): readonly Service[] =>
    createAgentServices(
      agentSettingsSchema.parse({
        node: name,
        zone: ZONE,
        listen: FREE_PORT,
        announceListen: FREE_PORT,
        secrets: { internal: context.secrets.internal },
        control: [control],
      }),
    );
  return createRoleService(context, name, ['control'], resolveServices, 'agent');
};

const createEntry = (context: DevContext): Service => {
  const resolveServices = (control: string): readonly Service[] =>
    createEntryServices(
      entrySettingsSchema.parse({
        node: 'entry-1',
        zone: ZONE,
        listen: { host: HOST, port: context.options.port },
        internalListen: FREE_PORT,
        secrets: { internal: context.secrets.internal },
        control: [control],
      }),
    );
  return createRoleService(context, 'entry', ['control', 'inventory'], resolveServices, 'entry');
};

const createInventoryService = (context: DevContext): Service => ({
  name: 'inventory',
  needs: ['control'],
  start: async (find) => {
    const rpc = createRpcClient({ secret: context.secrets.operator });
    const body = { base: 0, changeId: 'dev-first', inventory: createDevInventory() };
    const response = await rpc.request(find<string>('control'), {
      path: '/admin/inventory',
      method: 'PUT',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(body),
    });
    await response.body.dump();
    await rpc.close();
    return { value: response.statusCode };
  },
});

const createEngineService = (): Service => ({
  name: 'engine',
  needs: ['agent-1'],
  start: async (find) => {
    const value = await startStandinEngine({
      endpoint: 'engine-1',
      listen: FREE_PORT,
      agentAddress: find<AgentAddresses>('agent-1').announceAddress,
      serves: [
        { model: 'small', version: 'v1' },
        { model: 'small', version: 'v2' },
        { model: 'medium', version: 'v1' },
        { model: 'large', version: 'v1' },
      ],
    });
    return { value, stop: value.stop };
  },
});

const createPlainService = (): Service => ({
  name: 'bookings',
  needs: ['agent-2'],
  start: async (find) => {
    const value = await startStandinService({
      endpoint: 'bookings-1',
      service: 'bookings',
      listen: FREE_PORT,
      agentAddress: find<AgentAddresses>('agent-2').announceAddress,
    });
    return { value, stop: value.stop };
  },
});

const createReadinessService = (): Service => ({
  name: 'readiness',
  needs: ['entry', 'engine', 'bookings'],
  start: async (find) => {
    const { countEndpoints } = find<EntryAddresses>('entry');
    while (countEndpoints() < DEV_ENDPOINTS) await sleep(READY_POLL_MS);
    return { value: true };
  },
});

/** Starts control, entry, agents and stand-ins in this process. */
export const startDev = async (options: DevOptions): Promise<Dev> => {
  const createSecret = (): string => randomBytes(SECRET_BYTES).toString('hex');
  const context: DevContext = {
    options,
    secrets: { internal: createSecret(), operator: createSecret() },
    data: options.data ?? mkdtempSync(join(tmpdir(), 'oleanderfront-')),
  };
  const kernel = createKernel([
    createControl(context),
    createInventoryService(context),
    createEngineService(),
    createPlainService(),
    createAgent(context, 'agent-1'),
    createAgent(context, 'agent-2'),
    createEntry(context),
    createReadinessService(),
  ]);
  await kernel.start();
  const { address, internalAddress } = kernel.find<EntryAddresses>('entry');
  const agents = ['agent-1', 'agent-2'].map((name) => kernel.find<AgentAddresses>(name));
  return {
    address,
    engineAddress: kernel.find<StandinEngine>('engine').address,
    serviceAddress: kernel.find<StandinService>('bookings').address,
    ports: [
      address,
      internalAddress,
      kernel.find<string>('control'),
      ...agents.flatMap((agent) => [agent.address, agent.announceAddress]),
    ],
    controlAddress: kernel.find<string>('control'),
    operatorSecret: context.secrets.operator,
    stop: kernel.stop,
  };
};
