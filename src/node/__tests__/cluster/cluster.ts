import { mkdirSync, mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { request } from 'undici';
import {
  startStandinEngine,
  startStandinService,
  type StandinEngine,
  type StandinEngineOptions,
  type StandinService,
} from '../../standin';
import type { Inventory, ServedVersion } from '../../inventory';
import { createClusterInventory, SERVICE } from './inventory';
import { acquirePort } from './ports';
import { startRelay, type Relay } from './relay';
import { createRoleProcess, type RoleProcess } from './roleProcess';
import { waitFor } from './waitFor';

/** Options of a test cluster. */
export interface ClusterOptions {
  readonly controls?: number;
  readonly entries?: number;
  readonly engines?: readonly Partial<StandinEngineOptions>[];
  readonly inventory?: Inventory;
  /** Adds relays between entries and agents, and between both and control. */
  readonly hasRelays?: boolean;
  readonly logLevel?: string;
  /** Address of the rating service that entries use. */
  readonly ratingAddress?: string;
  /** Starts an engine. The default starts a stand-in in this process. */
  readonly startEngine?: (options: StandinEngineOptions) => Promise<StandinEngine>;
  readonly nodeArguments?: readonly string[];
  /** Lease duration. Defaults to the default of the settings. */
  readonly leaseMs?: number;
}

/** The response of an operator route. */
export interface AdminAnswer {
  readonly status: number;
  readonly body: unknown;
}

/** A running cluster: one process per node, with the stand-ins in the test process. */
export interface Cluster {
  readonly entries: readonly string[];
  readonly controls: readonly string[];
  readonly engines: readonly StandinEngine[];
  readonly service: StandinService;
  readonly processes: ReadonlyMap<string, RoleProcess>;
  /** Relays by name: an agent for its own address, or `NODE>CONTROL` for a link to control. */
  readonly relays: ReadonlyMap<string, Relay>;
  readonly callAdmin: (
    control: number,
    method: 'GET' | 'PUT' | 'POST',
    path: string,
    body?: unknown,
  ) => Promise<AdminAnswer>;
  readonly stop: () => Promise<void>;
}

const HOST = '127.0.0.1';
const ZONE = 'zone-a';
/** The internal secret of the test cluster. */
export const INTERNAL_SECRET = 'internal-secret';
const OPERATOR_SECRET = 'operator-secret';
const ADMIN_TIMEOUT_MS = 3_000;

/** The versions that each engine of a test cluster serves by default. */
export const SERVES: readonly ServedVersion[] = [
  { model: 'small', version: 'v1' },
  { model: 'small', version: 'v2' },
  { model: 'large', version: 'v1' },
];

const createAdminCaller =
  (controls: readonly string[]): Cluster['callAdmin'] =>
  async (control, method, path, body) => {
    const response = await request(`http://${controls[control % controls.length]!}${path}`, {
      method,
      headers: {
        authorization: `Bearer ${OPERATOR_SECRET}`,
        ...(body === undefined ? {} : { 'content-type': 'application/json' }),
      },
      body: body === undefined ? undefined : JSON.stringify(body),
      signal: AbortSignal.timeout(ADMIN_TIMEOUT_MS),
    });
    return { status: response.statusCode, body: await response.body.json() };
  };

const acquireAddress = async (): Promise<string> => `${HOST}:${await acquirePort()}`;

const formatListen = (address: string) => ({ host: HOST, port: Number(address.split(':')[1]) });

/** Starts the processes and stand-ins and waits until every entry reports that it is ready. */
export const startCluster = async (options: ClusterOptions = {}): Promise<Cluster> => {
  const { controls: controlCount = 1, entries: entryCount = 1, logLevel = 'info' } = options;
  const { startEngine = startStandinEngine, nodeArguments, leaseMs } = options;
  const engineOptions = options.engines ?? [{}];
  const folder = mkdtempSync(join(tmpdir(), 'oleanderfront-cluster-'));
  const processes = new Map<string, RoleProcess>();
  const relays = new Map<string, Relay>();
  const addProcess = (role: RoleProcess['role'], node: string, settings: object): void => {
    const common = { node, zone: ZONE, logLevel };
    const written = { ...common, ...settings };
    processes.set(
      node,
      createRoleProcess({ role, node, folder, settings: written, nodeArguments }),
    );
  };
  const openRelay = async (node: string, target: string): Promise<string> => {
    if (options.hasRelays !== true) return target;
    const relay = await startRelay(target);
    relays.set(node, relay);
    return relay.address;
  };

  const controls = await Promise.all(Array.from({ length: controlCount }, acquireAddress));
  const peers = controls.map((address, index) => ({ node: `control-${index + 1}`, address }));
  peers.forEach(({ node, address }) => {
    const data = join(folder, node);
    mkdirSync(data);
    const secrets = { internal: INTERNAL_SECRET, operator: OPERATOR_SECRET };
    addProcess('control', node, { listen: formatListen(address), secrets, data, peers, leaseMs });
  });

  const resolveControl = async (node: string): Promise<readonly string[]> =>
    Promise.all(
      controls.map((address, index) => openRelay(`${node}>control-${index + 1}`, address)),
    );

  const announceAddresses: string[] = [];
  for (let index = 0; index <= engineOptions.length; index += 1) {
    const node = `agent-${index + 1}`;
    const listen = await acquireAddress();
    const announce = await acquireAddress();
    announceAddresses.push(announce);
    addProcess('agent', node, {
      listen: formatListen(listen),
      announceListen: formatListen(announce),
      advertise: await openRelay(node, listen),
      secrets: { internal: INTERNAL_SECRET },
      control: await resolveControl(node),
    });
  }
  const entries = await Promise.all(Array.from({ length: entryCount }, acquireAddress));
  for (const [index, address] of entries.entries()) {
    const node = `entry-${index + 1}`;
    addProcess('entry', node, {
      listen: formatListen(address),
      internalListen: formatListen(await acquireAddress()),
      secrets: { internal: INTERNAL_SECRET },
      control: await resolveControl(node),
      ratingAddress: options.ratingAddress,
    });
  }

  const callAdmin = createAdminCaller(controls);
  const startRole = (role: RoleProcess['role']): Promise<unknown> =>
    Promise.all(
      [...processes.values()].filter((item) => item.role === role).map((item) => item.start()),
    );

  const listen = { host: HOST, port: 0 };
  const engines: StandinEngine[] = [];
  let service: StandinService | undefined;

  const stop = async (): Promise<void> => {
    for (const item of processes.values()) {
      item.signal('SIGCONT');
      item.signal('SIGKILL');
    }
    await Promise.all([...processes.values()].map((item) => item.waitForExit()));
    await Promise.all([...relays.values()].map((relay) => relay.stop()));
    await Promise.all(engines.map((engine) => engine.stop()));
    await service?.stop();
    rmSync(folder, { recursive: true, force: true });
  };

  const applyFirstInventory = async (): Promise<boolean> => {
    const inventory = options.inventory ?? createClusterInventory();
    const body = { base: 0, changeId: 'first', inventory };
    try {
      return (await callAdmin(0, 'PUT', '/admin/inventory', body)).status === 200;
    } catch {
      return false;
    }
  };

  const isReady = async (address: string): Promise<boolean> => {
    try {
      const response = await request(`http://${address}/readyz`);
      await response.body.dump();
      return response.statusCode === 200;
    } catch {
      return false;
    }
  };

  try {
    await startRole('control');
    await waitFor('the first inventory', applyFirstInventory);
    await startRole('agent');
    for (const [index, engine] of engineOptions.entries()) {
      engines.push(
        await startEngine({
          endpoint: `engine-${index + 1}`,
          listen,
          agentAddress: announceAddresses[index]!,
          serves: SERVES,
          ...engine,
        }),
      );
    }
    service = await startStandinService({
      endpoint: 'service-1',
      service: SERVICE,
      listen,
      agentAddress: announceAddresses.at(-1)!,
    });
    await startRole('entry');
    for (const address of entries) await waitFor('entry to be ready', () => isReady(address));
  } catch (cause) {
    await stop();
    throw cause;
  }
  return { entries, controls, engines, service, processes, relays, callAdmin, stop };
};
