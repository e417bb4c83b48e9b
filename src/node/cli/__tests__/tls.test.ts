import { mkdtempSync, readFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import test from 'ava';
import { Agent, request } from 'undici';
import { createAgentServices } from '../../agent';
import { createControlServices, type ControlAddresses } from '../../control';
import { createDevInventory } from '../../dev';
import { createEntryServices, type EntryAddresses } from '../../entry';
import { createKernel, type Kernel, type Service } from '../../kernel';
import { createRootLogger } from '../../log';
import { createMetrics } from '../../metrics';
import { createAdminClient } from '../../rpc';
import {
  agentSettingsSchema,
  controlSettingsSchema,
  entrySettingsSchema,
  resolveConfig,
} from '../../settings';
import type { AdminStatus } from '../../shared';
import { runInMemory } from './runInMemory';

const CERT = fileURLToPath(new URL('fixtures/cert.pem', import.meta.url));
const KEY = fileURLToPath(new URL('fixtures/key.pem', import.meta.url));
const PORT_TLS = { keyFile: KEY, certFile: CERT };
const INTERNAL_TLS = { ...PORT_TLS, caFile: CERT };
const FREE_PORT = { port: 0 };
const OPERATOR_SECRET = 'operator-secret';
const COMMON = { zone: 'dev-zone', listen: FREE_PORT, tls: INTERNAL_TLS };
const INTERNAL = { internal: 'internal-secret' };

const startKernel = async (services: readonly Service[]): Promise<Kernel> => {
  const log = createRootLogger({ level: 'silent', node: 'test' });
  const kernel = createKernel([
    { name: 'log', dependencies: [], start: () => ({ value: log }) },
    { name: 'metrics', dependencies: [], start: () => ({ value: createMetrics() }) },
    ...services,
  ]);
  await kernel.start();
  return kernel;
};

test("callers', internal and operators' ports use TLS if the settings configure it", async (t) => {
  const controlSettings = controlSettingsSchema.parse({
    ...COMMON,
    node: 'c1',
    data: mkdtempSync(join(tmpdir(), 'oleanderfront-')),
    peers: [{ node: 'c1', address: '127.0.0.1:0' }],
    secrets: { ...INTERNAL, operator: OPERATOR_SECRET },
    operatorListen: FREE_PORT,
    operatorTls: PORT_TLS,
  });
  const controlConfig = resolveConfig(controlSettings, 'c1.jsonc').unsafeCoerce();
  const control = await startKernel(createControlServices(controlConfig));
  t.teardown(control.stop);
  const { address, operatorAddress } = control.find<ControlAddresses>('control-server');

  const client = createAdminClient({
    control: [operatorAddress],
    secret: OPERATOR_SECRET,
    certificateAuthority: readFileSync(CERT, 'utf8'),
  });
  t.teardown(client.close);
  const body = { base: 0, changeId: 'first', inventory: createDevInventory() };
  (await client.call('PUT', '/admin/inventory', body)).unsafeCoerce();

  const agentSettings = agentSettingsSchema.parse({
    ...COMMON,
    node: 'a1',
    announceListen: FREE_PORT,
    control: [address],
    secrets: INTERNAL,
  });
  const agentConfig = resolveConfig(agentSettings, 'a1.jsonc').unsafeCoerce();
  const agent = await startKernel(createAgentServices(agentConfig));
  t.teardown(agent.stop);

  const entrySettings = entrySettingsSchema.parse({
    ...COMMON,
    node: 'e1',
    internalListen: FREE_PORT,
    control: [address],
    secrets: INTERNAL,
    callerTls: PORT_TLS,
  });
  const entryConfig = resolveConfig(entrySettings, 'e1.jsonc').unsafeCoerce();
  const entry = await startKernel(createEntryServices(entryConfig));
  t.teardown(entry.stop);

  // Both hold a lease, so their calls reached control's internal port over TLS.
  const status = (await client.call<AdminStatus>('GET', '/admin/status')).unsafeCoerce();
  t.deepEqual(status.nodes.map(({ node }) => node).sort(), ['a1', 'e1']);

  const dispatcher = new Agent({ connect: { ca: readFileSync(CERT, 'utf8') } });
  t.teardown(() => dispatcher.close());
  const { address: callers, internalAddress } = entry.find<EntryAddresses>('entry');
  for (const [host, path] of [
    [callers, '/readyz'],
    [internalAddress, '/metrics'],
    [address, '/livez'],
  ] as const) {
    const response = await request(`https://${host}${path}`, { dispatcher });
    t.is(response.statusCode, 200, `${host}${path}`);
    await response.body.dump();
    await t.throwsAsync(request(`http://${host}${path}`), undefined, `${host} accepts plain HTTP`);
  }

  const args = ['status', '--control', operatorAddress];
  const env = { OLEANDERFRONT_OPERATOR_SECRET: OPERATOR_SECRET };
  t.is((await runInMemory([...args, '--ca', CERT], env)).code, 0);
  t.is((await runInMemory(args, env)).code, 5, 'without --ca the connection fails');
});
