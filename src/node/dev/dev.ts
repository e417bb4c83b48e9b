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
  /** Port of the operator API. Defaults to a free port. */
  readonly controlPort?: number;
  /** Data folder, kept across restarts. Defaults to a temporary folder. */
  readonly data?: string;
  /** Tokens in each answer of the stand-in engine. Defaults to the stand-in's own default. */
  readonly engineTokens?: number;
  readonly log: Logger;
}

/** A running quick start. */
export interface Dev {
  readonly address: string;
  readonly controlAddress: string;
  readonly operatorSecret: string;
  readonly secretFile: string;
  /** Address of the stand-in engine. Tests read its record. */
  readonly engineAddress: string;
  /** Address of the stand-in service. Tests read its record. */
  readonly serviceAddress: string;
  /** Every address that the roles listen on. */
  readonly listenAddresses: readonly string[];
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
  dependencies: [],
  start: () => ({ value: log }),
});

const createMetricsService = (): Service => ({
  name: 'metrics',
  dependencies: [],
  start: () => ({ value: createMetrics() }),
});

// Each role has its own kernel, so that its services have the same names as in a separate process.
const createRoleService = (
  context: DevContext,
  name: string,
  needs: readonly string[],
  resolveServices: (controlAddress: string, find: Lookup) => readonly Service[],
  mainService: string,
): Service => ({
  name,
  dependencies: needs,
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

// The change id and base are constant, so that a restart with the same data folder changes nothing.
const createInventoryService = (context: DevContext): Service => ({
  name: 'inventory',
  dependencies: ['control'],
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
  dependencies: [],
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
  dependencies: ['agent-1'],
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
  dependencies: ['agent-2'],
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
  dependencies: ['control', 'engine', 'bookings', 'entry'],
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

/** Starts control, entry, agents and stand-ins in this process. Resolves when all are ready. */
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
    listenAddresses: [
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
