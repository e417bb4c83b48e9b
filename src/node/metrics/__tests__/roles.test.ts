import test from 'ava';
import { request } from 'undici';
import { startDev, type Dev } from '../../dev';
import { createRootLogger } from '../../log';

const fetchText = async (address: string, path: string): Promise<string | undefined> => {
  const response = await request(`http://${address}${path}`);
  const text = await response.body.text();
  return response.statusCode === 200 ? text : undefined;
};

const sendChat = async (dev: Dev, model: string): Promise<number> => {
  const response = await request(`http://${dev.address}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: 'Bearer dev-key-2', 'content-type': 'application/json' },
    body: JSON.stringify({ model, messages: [{ role: 'user', content: 'How deep?' }] }),
  });
  await response.body.dump();
  return response.statusCode;
};

test('every role answers /livez, /readyz and /metrics, and the metrics count the requests', async (t) => {
  const log = createRootLogger({ level: 'silent', node: 'dev' });
  const dev = await startDev({ port: 0, log });
  t.teardown(dev.stop);
  t.is(await sendChat(dev, 'small'), 200);
  t.is(await sendChat(dev, 'large'), 403);

  const pages: string[] = [];
  for (const port of dev.listenAddresses) {
    const page = await fetchText(port, '/metrics').catch(() => undefined);
    if (page === undefined) continue;
    pages.push(page);
    t.truthy(await fetchText(port, '/livez'), port);
    t.truthy(await fetchText(port, '/readyz'), port);
    t.regex(page, /^oleanderfront_ready 1$/m);
    t.regex(page, /^oleanderfront_view_revision [1-9]/m);
  }
  t.is(pages.length, 4, 'one entry, two agents, one control host');
  const all = pages.join('\n');
  t.regex(
    all,
    /^oleanderfront_requests_total\{organisation="dev-2",model="small",status="200"\} 1$/m,
  );
  t.regex(all, /^oleanderfront_refusals_total\{type="not_allowed"\} 1$/m);
  t.regex(all, /^oleanderfront_first_piece_seconds_count\{model="small"\} 1$/m);
  t.regex(all, /^oleanderfront_attempts_total\{outcome="ran"\} 1$/m);
  t.regex(all, /^oleanderfront_config_leader 1$/m);
  t.regex(all, /^oleanderfront_nodes_registered 3$/m);
  t.regex(all, /^oleanderfront_rpc_calls_total\{method="control.renew",result="ok"\} \d+$/m);
});
