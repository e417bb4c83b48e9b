import { existsSync, mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import { request } from 'undici';
import { startDev } from '..';
import { createRootLogger } from '../../log';
import { createAdminClient } from '../../rpc';
import type { AdminStatus } from '../../shared';

const QUESTION = [{ role: 'user', content: 'How deep must the gravel be?' }];

test('the quick start answers a chat request', async (t) => {
  const log = createRootLogger({ level: 'silent', node: 'dev' });
  const dev = await startDev({ port: 0, log });
  t.teardown(dev.stop);
  const response = await request(`http://${dev.address}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: 'Bearer dev-key', 'content-type': 'application/json' },
    body: JSON.stringify({ model: 'auto', messages: QUESTION }),
  });
  t.is(response.statusCode, 200);
  t.is(response.headers['x-oleanderfront-model'], 'medium');
  const body = (await response.body.json()) as { readonly choices: readonly unknown[] };
  t.is(body.choices.length, 1);
});

test('a restart keeps the operator secret, the first inventory and changes by operators', async (t) => {
  const log = createRootLogger({ level: 'silent', node: 'dev' });
  const data = mkdtempSync(join(tmpdir(), 'oleanderfront-'));
  const withdrawal = { changeId: 'w1', model: 'small', version: 'v2', reason: 'test' };

  const first = await startDev({ port: 0, data, log });
  const client = createAdminClient({
    control: [first.controlAddress],
    secret: first.operatorSecret,
  });
  (await client.call('POST', '/admin/withdraw', withdrawal)).unsafeCoerce();
  await client.close();
  await first.stop();

  const second = await startDev({ port: 0, data, log });
  t.teardown(second.stop);
  t.is(second.operatorSecret, first.operatorSecret);
  const later = createAdminClient({
    control: [second.controlAddress],
    secret: first.operatorSecret,
  });
  t.teardown(later.close);
  const status = (await later.call<AdminStatus>('GET', '/admin/status')).unsafeCoerce();
  t.is(status.inventoryRevision, 1);
  t.deepEqual(
    status.withdrawals.map(({ version }) => version),
    ['v2'],
  );
});

test('stopping removes a temporary data folder', async (t) => {
  const log = createRootLogger({ level: 'silent', node: 'dev' });
  const dev = await startDev({ port: 0, log });
  t.true(existsSync(dev.secretFile));
  await dev.stop();
  t.false(existsSync(dev.secretFile));
});
