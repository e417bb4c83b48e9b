import { join } from 'node:path';
import { createAgentServices, type AgentAddresses } from '../agent';
import { createControlServices, type ControlAddresses } from '../control';
import { createEntryServices, type EntryAddresses } from '../entry';
import { createKernel, type Kernel, type Lookup, type Service } from '../kernel';
import type { Logger } from '../log';
import { createMetrics } from '../metrics';
import { createAdminClient, createRpcClient } from '../rpc';
import { agentSettingsSchema, controlSettingsSchema, entrySettingsSchema } from '../settings';
import {
  startStandinEngine,
  startStandinRating,
  startStandinService,
  type StandinEngine,
  type StandinRating,
  type StandinService,
} from '../standin';
import { openDevData, type DevData } from './devData';
import { createDevInventory } from './devInventory';
import { waitForEndpoints } from './devReadiness';

/** Options of the quick start. */
export interface DevOptions {
  readonly port: number;
  /** Port for operators; a free one when absent. */
  readonly controlPort?: number;
  /** Folder for the state, kept over restarts; a temporary one when absent. */
  readonly data?: string;
  /** Tokens of each answer of the stand-in engine; the stand-in's default when absent. */
  readonly engineTokens?: number;
  readonly log: Logger;
}

/** The running quick start. */
export interface Dev {
  readonly address: string;
  readonly controlAddress: string;
  readonly operatorSecret: string;
  readonly secretFile: string;
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
const ENGINE = 'engine-1';
const BOOKINGS = 'bookings-1';

interface DevContext {
  readonly options: DevOptions;
  readonly data: DevData;
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
  resolveServices: (controlAddress: string, find: Lookup) => readonly Service[],
  mainService: string,
): Service => ({
  name,
  needs,
  start: async (find) => {
    const control = needs.includes('control') ? find<ControlAddresses>('control').address : '';
    const { log } = context.options;
    const shared = [createLogService(log), createMetricsService()];
    const kernel: Kernel = createKernel([...shared, ...resolveServices(control, find)]);
    await kernel.start();
    return { value: kernel.find(mainService), stop: kernel.stop };
  },
});

const createControl = (context: DevContext): Service => {
  const settings = controlSettingsSchema.parse({
    node: 'control-1',
    zone: ZONE,
    listen: { host: HOST, port: context.options.controlPort ?? 0 },
    secrets: context.data.secrets,
    data: join(context.data.folder, 'control-1'),
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
        secrets: { internal: context.data.secrets.internal },
        control: [control],
      }),
    );
  return createRoleService(context, name, ['control'], resolveServices, 'agent');
};

const createEntry = (context: DevContext): Service => {
  const resolveServices = (control: string, find: Lookup): readonly Service[] =>
    createEntryServices(
      entrySettingsSchema.parse({
        node: 'entry-1',
        zone: ZONE,
        listen: { host: HOST, port: context.options.port },
        internalListen: FREE_PORT,
        secrets: { internal: context.data.secrets.internal },
        control: [control],
        ratingAddress: find<StandinRating>('rating').address,
      }),
    );
  const needs = ['control', 'inventory', 'rating'];
  return createRoleService(context, 'entry', needs, resolveServices, 'entry');
};

// The change id and base stay the same, so that a later start over the same data changes nothing.
const createInventoryService = (context: DevContext): Service => ({
  name: 'inventory',
  needs: ['control'],
  start: async (find) => {
    const { operatorAddress } = find<ControlAddresses>('control');
    const client = createAdminClient({
      control: [operatorAddress],
      secret: context.data.secrets.operator,
    });
    const body = { base: 0, changeId: 'dev-first', inventory: createDevInventory() };
    const answer = await client.call('PUT', '/admin/inventory', body);
    await client.close();
    answer.ifLeft((error) => {
      if (error.type !== 'conflict') throw error;
    });
    return { value: answer.isRight() };
  },
});

const createRatingService = (): Service => ({
  name: 'rating',
  needs: [],
  start: async () => {
    const { models } = createDevInventory();
    const value = await startStandinRating(
      FREE_PORT,
      ({ model }) => models.find(({ name }) => name === model)?.priorQuality ?? 0,
    );
    return { value, stop: value.stop };
  },
});

const createEngineService = ({ options }: DevContext): Service => ({
  name: 'engine',
  needs: ['agent-1'],
  start: async (find) => {
    const value = await startStandinEngine({
      endpoint: ENGINE,
      listen: FREE_PORT,
      agentAddress: find<AgentAddresses>('agent-1').announceAddress,
      serves: [
        { model: 'small', version: 'v1' },
        { model: 'small', version: 'v2' },
        { model: 'medium', version: 'v1' },
        { model: 'large', version: 'v1' },
      ],
      tokens: options.engineTokens,
    });
    return { value, stop: value.stop };
  },
});

const createPlainService = (): Service => ({
  name: 'bookings',
  needs: ['agent-2'],
  start: async (find) => {
    const value = await startStandinService({
      endpoint: BOOKINGS,
      service: 'bookings',
      listen: FREE_PORT,
      agentAddress: find<AgentAddresses>('agent-2').announceAddress,
    });
    return { value, stop: value.stop };
  },
});

const createReadinessService = (context: DevContext): Service => ({
  name: 'readiness',
  needs: ['control', 'engine', 'bookings', 'entry'],
  start: async (find) => {
    const rpc = createRpcClient({ secret: context.data.secrets.operator });
    try {
      const { operatorAddress } = find<ControlAddresses>('control');
      await waitForEndpoints(rpc, operatorAddress, [ENGINE, BOOKINGS]);
    } finally {
      await rpc.close();
    }
    return { value: undefined };
  },
});

/** Starts control, entry, agents and stand-ins in this process; resolves when all can be used. */
export const startDev = async (options: DevOptions): Promise<Dev> => {
  const data = openDevData(options.data);
  const context: DevContext = { options, data };
  const kernel = createKernel([
    createControl(context),
    createInventoryService(context),
    createRatingService(),
    createEngineService(context),
    createPlainService(),
    createAgent(context, 'agent-1'),
    createAgent(context, 'agent-2'),
    createEntry(context),
    createReadinessService(context),
  ]);
  const stop = async (): Promise<void> => {
    await kernel.stop();
    data.close();
  };
  try {
    await kernel.start();
  } catch (cause) {
    data.close();
    throw cause;
  }
  const { address, internalAddress } = kernel.find<EntryAddresses>('entry');
  const control = kernel.find<ControlAddresses>('control');
  const agents = ['agent-1', 'agent-2'].map((name) => kernel.find<AgentAddresses>(name));
  return {
    address,
    engineAddress: kernel.find<StandinEngine>('engine').address,
    serviceAddress: kernel.find<StandinService>('bookings').address,
    ports: [
      address,
      internalAddress,
      control.address,
      ...agents.flatMap((agent) => [agent.address, agent.announceAddress]),
    ],
    controlAddress: control.operatorAddress,
    operatorSecret: data.secrets.operator,
    secretFile: data.secretFile,
    stop,
  };
};
