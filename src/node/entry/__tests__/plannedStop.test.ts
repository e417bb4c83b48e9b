import test from 'ava';
import { request } from 'undici';
import { startDev } from '../../dev';
import { createRootLogger } from '../../log';

const CHAT = '/v1/chat/completions';

test('a planned stop completes streams, refuses new requests and turns readiness off', async (t) => {
  const dev = await startDev({ port: 0, log: createRootLogger({ level: 'silent', node: 'dev' }) });
  const send = (fields: object) =>
    request(`http://${dev.address}${CHAT}`, {
      method: 'POST',
      headers: { authorization: 'Bearer dev-key' },
      body: JSON.stringify({
        model: 'small',
        messages: [{ role: 'user', content: 'stop' }],
        ...fields,
      }),
    });
  const stream = await send({ stream: true });
  const text = stream.body.text();
  const stopping = dev.stop();
  const ready = await request(`http://${dev.address}/readyz`);
  await ready.body.dump();
  t.is(ready.statusCode, 503);
  const refused = await send({});
  t.is(refused.statusCode, 503);
  t.like(await refused.body.json(), { error: { type: 'unavailable', outcome: 'not_run' } });
  t.regex(await text, /data: \[DONE\]\n\n$/);
  await stopping;
  await t.throwsAsync(send({}), { code: 'ECONNREFUSED' });
});
