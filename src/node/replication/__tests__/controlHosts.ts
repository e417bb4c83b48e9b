import { spawn, type ChildProcess } from 'node:child_process';
import { mkdtempSync, readdirSync, rmSync, statSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Dispatcher } from 'undici';
import { acquirePort } from '../../__tests__/cluster/ports';
import { createRpcClient } from '../../rpc';
import type { AdminStatus } from '../../shared';
import type { GroupReplacement } from '../replicationHost';
import type { ReplicaStatus } from '../types';

const INTERNAL_SECRET = 'internal-secret';
const OPERATOR_SECRET = 'operator-secret';
const POLL_MS = 20;
const HOST = '127.0.0.1';

/** Waits until a probe returns a value. Throws after a time limit, so that a failing test ends. */
export const waitFor = async <T>(
  title: string,
  probe: () => Promise<T | undefined> | T | undefined,
  limitMs = 30_000,
): Promise<T> => {
  const end = Date.now() + limitMs;
  while (Date.now() < end) {
    const value = await probe();
    if (value !== undefined) return value;
    await sleep(POLL_MS);
  }
  throw new Error(`timed out after ${limitMs} ms waiting for ${title}`);
};

const createInventory = (revision: number, furtherZones: number) => ({
  zones: [
    { name: `zone-${revision}`, region: 'region' },
    ...Array.from({ length: furtherZones }, (_, index) => ({
      name: `further-zone-${index}`.padEnd(60, 'x'),
      region: 'region'.padEnd(60, 'x'),
    })),
  ],
  hosts: [],
  models: [],
  services: [],
  endpoints: [],
  organisations: [],
  rules: { tasks: [] },
});

interface Status {
  readonly config: ReplicaStatus;
  readonly ledger: ReplicaStatus;
}

/** A stored inventory. The name of its zone identifies the change that wrote it. */
export interface StoredInventory {
  readonly revision: number;
  readonly inventory: { readonly zones: readonly { readonly name: string }[] } | null;
}

/** Creates control hosts that run as separate processes and communicate over loopback. */
export const createControlHosts = async (
  nodes: readonly string[],
  spare: readonly string[] = [],
  program: readonly string[] = ['--import=tsx', 'src/node/main.ts'],
) => {
  const root = mkdtempSync(join(tmpdir(), 'oleanderfront-control-'));
  const addresses = new Map<string, string>();
  for (const node of [...nodes, ...spare]) addresses.set(node, `${HOST}:${await acquirePort()}`);
  const running = new Map<string, ChildProcess>();
  const rpc = createRpcClient({ secret: OPERATOR_SECRET });
  const internal = createRpcClient({ secret: INTERNAL_SECRET });

  const writeSettings = (node: string, peers: readonly string[]): string => {
    const file = join(root, `${node}.jsonc`);
    const [host, port] = addresses.get(node)!.split(':');
    const settings = {
      node,
      zone: 'zone',
      listen: { host, port: Number(port) },
      secrets: { internal: INTERNAL_SECRET, operator: OPERATOR_SECRET },
      data: join(root, node),
      peers: peers.map((peer) => ({ node: peer, address: addresses.get(peer)! })),
      logLevel: process.env.CONTROL_LOG ?? 'silent',
    };
    writeFileSync(file, JSON.stringify(settings));
    return file;
  };

  const start = (node: string, peers = nodes): ChildProcess => {
    const file = writeSettings(node, peers);
    const child = spawn(process.execPath, [...program, 'control', '--settings', file], {
      stdio: ['ignore', 'ignore', 'inherit'],
    });
    running.set(node, child);
    return child;
  };

  const stopHost = async (node: string, signal: NodeJS.Signals = 'SIGKILL'): Promise<void> => {
    const child = running.get(node);
    running.delete(node);
    if (!child || child.exitCode !== null) return;
    const ended = new Promise((resolve) => {
      child.once('exit', resolve);
    });
    child.kill(signal);
    await ended;
  };

  const request = async (
    node: string,
    options: Omit<Dispatcher.RequestOptions, 'origin'>,
  ): Promise<unknown> => {
    try {
      const signal = AbortSignal.timeout(3_000);
      const response = await rpc.request(addresses.get(node)!, { ...options, signal });
      const body = await response.body.json();
      return response.statusCode === 200 ? body : undefined;
    } catch {
      return undefined;
    }
  };

  const readStatus = async (node: string): Promise<Status | undefined> => {
    const body = await request(node, { path: '/admin/status', method: 'GET' });
    const groups = (body as Pick<AdminStatus, 'groups'> | undefined)?.groups ?? [];
    const config = groups.find(({ group }) => group === 'config');
    const ledger = groups.find(({ group }) => group === 'ledger-0');
    return config && ledger ? { config, ledger } : undefined;
  };

  const readInventory = (node: string) =>
    request(node, { path: '/admin/inventory', method: 'GET' }) as Promise<
      StoredInventory | undefined
    >;

  const requestChange = (node: string, base: number, furtherZones = 0) =>
    request(node, {
      path: '/admin/inventory',
      method: 'PUT',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({
        base,
        changeId: `change-${base}`,
        inventory: createInventory(base + 1, furtherZones),
      }),
    });

  const replaceHost = (node: string, lost: string, by: string) =>
    request(node, {
      path: '/admin/control/replace',
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ lost, node: by, address: addresses.get(by)! }),
    }) as Promise<{ readonly groups: readonly GroupReplacement[] } | undefined>;

  const waitForLeader = (among: readonly string[] = nodes): Promise<string> =>
    waitFor('a leader', async () => {
      const found = await Promise.all(among.map(readStatus));
      const hasLedger = found.some((status) => status?.ledger.role === 'leader');
      return among.find((_, index) => hasLedger && found[index]?.config.role === 'leader');
    });

  return {
    root,
    addresses,
    start,
    kill: stopHost,
    signal: (node: string, signal: NodeJS.Signals) => running.get(node)!.kill(signal),
    pid: (node: string) => running.get(node)!.pid!,
    /** Returns the size of a group's folder on a host in bytes. */
    computeGroupBytes: (node: string, group: string): number => {
      const folder = join(root, node, group);
      return readdirSync(folder)
        .map((name) => statSync(join(folder, name)).size)
        .reduce((sum, size) => sum + size, 0);
    },
    removeData: (node: string) => rmSync(join(root, node), { recursive: true }),
    call: internal.call,
    readStatus,
    readInventory,
    requestChange,
    replaceHost,
    waitForLeader,
    stop: async () => {
      for (const child of running.values()) child.kill('SIGCONT');
      await Promise.all([...running.keys()].map((node) => stopHost(node)));
      await rpc.close();
      await internal.close();
      rmSync(root, { recursive: true, force: true });
    },
  };
};
