import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import test, { type ExecutionContext } from 'ava';
import { z } from 'zod';
import { createControlServices, type ControlAddresses } from '../../control';
import { createKernel } from '../../kernel';
import { createRootLogger } from '../../log';
import {
  createHttpServer,
  createMethod,
  createRpcClient,
  registerRpc,
  startHttpServer,
} from '../../rpc';
import type { NodeState } from '../../shared';
import { controlSettingsSchema } from '../../settings';
import { createMetrics } from '../../metrics';
import { createLeaseClient, type LeaseClient } from '..';

const LEASE_MS = 1_000;
const SECRET = 'lease-test-secret';
const LOG = createRootLogger({ level: 'silent', node: 'test' });

interface Control {
  readonly address: string;
  readonly stop: () => Promise<void>;
  readonly sendInventory: (base: number) => Promise<number>;
  readonly listNodes: () => Promise<readonly NodeState[]>;
}

const startControl = async (t: ExecutionContext): Promise<Control> => {
  const settings = controlSettingsSchema.parse({
    node: 'control-1',
    zone: 'z',
    listen: { port: 0 },
    secrets: { internal: SECRET, operator: SECRET },
    data: mkdtempSync(join(tmpdir(), 'lease-')),
    peers: [{ node: 'control-1', address: '127.0.0.1:0' }],
    leaseMs: LEASE_MS,
  });
  const kernel = createKernel([
    { name: 'log', dependencies: [], start: () => ({ value: LOG }) },
    { name: 'metrics', dependencies: [], start: () => ({ value: createMetrics() }) },
    ...createControlServices(settings),
  ]);
  await kernel.start();
  const { address } = kernel.find<ControlAddresses>('control-server');
  const rpc = createRpcClient({ secret: SECRET });
  t.teardown(rpc.close);
  t.teardown(kernel.stop);
  const sendInventory = async (base: number): Promise<number> => {
    const inventory = { zones: [], models: [], organisations: [] };
    const response = await rpc.request(address, {
      path: '/admin/inventory',
      method: 'PUT',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ base, changeId: `change-${base}`, inventory }),
    });
    await response.body.dump();
    return response.statusCode;
  };
  const listNodes = async (): Promise<readonly NodeState[]> =>
    (await rpc.call<readonly NodeState[]>(address, 'members.list', {})).unsafeCoerce();
  return { address, stop: kernel.stop, sendInventory, listNodes };
};

const createClient = (
  t: ExecutionContext,
  control: string,
  role: 'entry' | 'agent' = 'entry',
): LeaseClient => {
  const rpc = createRpcClient({ secret: SECRET });
  const options = { node: 'node-1', role, zone: 'z', host: 'h', control: [control], rpc, log: LOG };
  const client = createLeaseClient(options);
  t.teardown(async () => {
    await client.stop();
    await rpc.close();
  });
  return client;
};

const waitUntil = async (isTrue: () => boolean | Promise<boolean>): Promise<void> => {
  while (!(await isTrue())) await sleep(10);
};

test('an accepted change reaches a node that holds a lease', async (t) => {
  const control = await startControl(t);
  const client = createClient(t, control.address);
  await client.start('127.0.0.1:1');
  t.true(client.isValid());
  t.is(await control.sendInventory(0), 200);
  await waitUntil(() => client.view.find('rules', 'rules') !== undefined);
  t.true(client.isValid());
});

test('a lease expires once no control host is reachable', async (t) => {
  const control = await startControl(t);
  const client = createClient(t, control.address);
  await client.start('127.0.0.1:1');
  await control.stop();
  await waitUntil(() => !client.isValid());
  t.false(client.isReplaced());
});

test('a renewal answered after the lease duration does not extend the lease', async (t) => {
  const leaseMs = 100;
  const app = createHttpServer();
  const update = { type: 'snapshot', revision: 1, entries: [] } as const;
  let answers = 0;
  const methods = {
    'control.register': createMethod(z.any(), () => ({ incarnation: 1, waitMs: 0 })),
    'control.leave': createMethod(z.any(), () => ({})),
    'control.renew': createMethod(z.any(), async () => {
      await sleep(leaseMs * 2);
      answers += 1;
      return { term: 1, leaseMs, update };
    }),
  };
  registerRpc(app, methods, SECRET);
  const address = await startHttpServer(app, { host: '127.0.0.1', port: 0 });
  t.teardown(() => app.close());
  const client = createClient(t, address);
  const starting = client.start('127.0.0.1:1');
  let hasBeenValid = false;
  await waitUntil(() => {
    hasBeenValid ||= client.isValid();
    return answers >= 3;
  });
  t.false(hasBeenValid);
  t.is(client.view.revision(), 1);
  await client.stop();
  await starting;
});

test('a newer process of the same name replaces the older one and waits for its lease to expire', async (t) => {
  const control = await startControl(t);
  const older = createClient(t, control.address, 'agent');
  await older.start('127.0.0.1:1');
  const newer = createClient(t, control.address, 'agent');
  const startedAt = performance.now();
  const starting = newer.start('127.0.0.1:2');
  await waitUntil(() => older.isReplaced());
  t.false(older.isValid());
  t.false(newer.isValid());
  await starting;
  t.true(newer.isValid());
  t.true(performance.now() - startedAt >= LEASE_MS);
  t.is(newer.incarnation(), 2);
});

test('a node that stops renewing is removed, and a planned stop removes a node at once', async (t) => {
  const control = await startControl(t);
  const client = createClient(t, control.address);
  await client.start('127.0.0.1:1');
  const rpc = createRpcClient({ secret: SECRET });
  t.teardown(rpc.close);
  const silent = { node: 'node-2', role: 'agent', zone: 'z', host: 'h', address: 'a', bootId: 'b' };
  await rpc.call(control.address, 'control.register', silent);
  const listNames = async () => (await control.listNodes()).map((item) => item.node);
  t.deepEqual(await listNames(), ['node-1', 'node-2']);
  await waitUntil(async () => (await listNames()).length === 1);
  t.deepEqual(await listNames(), ['node-1']);
  await client.stop();
  t.deepEqual(await listNames(), []);
});
