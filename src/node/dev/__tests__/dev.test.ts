import test from 'ava';
import { request } from 'undici';
import { startDev } from '..';
import { createRootLogger } from '../../log';

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
