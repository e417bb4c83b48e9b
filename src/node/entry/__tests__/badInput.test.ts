import test from 'ava';
import { connect } from 'node:net';
import { once } from 'node:events';
import { request } from 'undici';
import { startDev, type Dev } from '../../dev';
import { createRootLogger } from '../../log';

const MESSAGES = [{ role: 'user', content: 'How deep must the gravel be?' }];
const CHAT = '/v1/chat/completions';
const VALID_CHAT = { model: 'small', messages: MESSAGES };
const TEN_MEGABYTES = 10 * 1024 * 1024;

interface Case {
  readonly name: string;
  readonly status: number;
  readonly type: string;
  readonly method?: 'GET' | 'POST';
  readonly path?: string;
  readonly key?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | Buffer;
}

const createBody = (fields: object): string => JSON.stringify({ ...VALID_CHAT, ...fields });

const cases: readonly Case[] = [
  { name: 'no API key', key: '', status: 401, type: 'unauthenticated' },
  { name: 'an unknown API key', key: 'nobody', status: 401, type: 'unauthenticated' },
  { name: 'malformed JSON', body: '{"model":', status: 400, type: 'invalid_request' },
  { name: 'an empty body', body: '', status: 400, type: 'invalid_request' },
  { name: 'a JSON list', body: '[]', status: 400, type: 'invalid_request' },
  { name: 'a JSON null', body: 'null', status: 400, type: 'invalid_request' },
  {
    name: 'a body that is not UTF-8',
    body: Buffer.from([0x7b, 0x22, 0xff, 0xfe]),
    status: 400,
    type: 'invalid_request',
  },
  { name: 'a numeric model', body: createBody({ model: 7 }), status: 400, type: 'invalid_request' },
  {
    name: 'an empty model',
    body: createBody({ model: '' }),
    status: 400,
    type: 'invalid_request',
  },
  { name: 'no messages', body: createBody({ messages: [] }), status: 400, type: 'invalid_request' },
  {
    name: 'messages of the wrong type',
    body: createBody({ messages: 'hello' }),
    status: 400,
    type: 'invalid_request',
  },
  {
    name: 'a message without a role',
    body: createBody({ messages: [{ content: 'x' }] }),
    status: 400,
    type: 'invalid_request',
  },
  {
    name: 'a bad stream option',
    body: createBody({ stream: 'yes' }),
    status: 400,
    type: 'invalid_request',
  },
  {
    name: 'stream options without a stream',
    body: createBody({ stream_options: { include_usage: true } }),
    status: 400,
    type: 'invalid_request',
  },
  {
    name: 'stream options of the wrong type',
    body: createBody({ stream: true, stream_options: { include_usage: 'yes' } }),
    status: 400,
    type: 'invalid_request',
  },
  {
    name: 'a task of the wrong type',
    body: createBody({ metadata: { task: 1 } }),
    status: 400,
    type: 'invalid_request',
  },
  {
    name: 'a duplicate field',
    body: '{"model":"small","model":"large","messages":[{"role":"user","content":"x"}]}',
    status: 400,
    type: 'invalid_request',
  },
  {
    name: 'a deferred stream',
    body: createBody({ stream: true }),
    headers: { prefer: 'respond-async' },
    status: 400,
    type: 'invalid_request',
  },
  { name: 'an unknown model', body: createBody({ model: 'none' }), status: 404, type: 'not_found' },
  {
    name: 'an unknown model, deferred',
    body: createBody({ model: 'none' }),
    headers: { prefer: 'respond-async' },
    status: 404,
    type: 'not_found',
  },
  {
    name: 'a model that is not allowed',
    key: 'dev-key-2',
    body: createBody({ model: 'large' }),
    status: 403,
    type: 'not_allowed',
  },
  {
    name: 'a body of 10 MB',
    body: createBody({ messages: [{ role: 'user', content: 'x'.repeat(TEN_MEGABYTES) }] }),
    status: 413,
    type: 'too_large',
  },
  {
    name: 'an idempotency key with 300 characters',
    headers: { 'idempotency-key': 'k'.repeat(300) },
    status: 400,
    type: 'invalid_request',
  },
  {
    name: 'an empty session',
    headers: { 'x-session-id': '' },
    status: 400,
    type: 'invalid_request',
  },
  { name: 'an unknown route', path: '/v2/none', status: 404, type: 'not_found' },
  { name: 'a broken path', path: '/v1/%ff%', status: 400, type: 'invalid_request' },
  {
    name: 'an unknown request',
    method: 'GET',
    path: '/v1/requests/none',
    status: 404,
    type: 'not_found',
  },
  {
    name: 'a service that is not allowed',
    key: 'dev-key-2',
    path: '/v1/services/bookings/x',
    status: 403,
    type: 'not_allowed',
  },
  { name: 'an unknown service', path: '/v1/services/none/x', status: 403, type: 'not_allowed' },
  {
    name: 'a service path with dot segments',
    path: '/v1/services/bookings/a/x%2f..%2f..%2fdeposit',
    status: 400,
    type: 'invalid_request',
  },
];

interface ErrorAnswer {
  readonly error: Readonly<Record<string, unknown>>;
}

const hasErrorFields = (body: ErrorAnswer): boolean =>
  ['message', 'step', 'peer', 'request_id'].every((name) => typeof body.error[name] === 'string');

let dev: Dev;

test.before(async () => {
  dev = await startDev({ port: 0, log: createRootLogger({ level: 'silent', node: 'dev' }) });
});
test.after.always(() => dev.stop());

const sendChat = (headers: Readonly<Record<string, string>>, body: string | Buffer) =>
  request(`http://${dev.address}${CHAT}`, {
    method: 'POST',
    headers: { 'content-type': 'application/json', ...headers },
    body,
  });

cases.forEach((item) => {
  test.serial(`${item.name} is refused with ${item.status} and outcome not_run`, async (t) => {
    const { method = 'POST', path = CHAT, key = 'dev-key', headers = {} } = item;
    const authorization = key === '' ? {} : { authorization: `Bearer ${key}` };
    const response = await request(`http://${dev.address}${path}`, {
      method,
      headers: { 'content-type': 'application/json', ...authorization, ...headers },
      body: method === 'GET' ? undefined : (item.body ?? createBody({})),
    });
    const body = (await response.body.json()) as ErrorAnswer;
    t.is(response.statusCode, item.status, JSON.stringify(body));
    t.like(body, { error: { type: item.type, outcome: 'not_run' } });
    t.true(hasErrorFields(body));
    const after = await sendChat({ authorization: 'Bearer dev-key' }, createBody({}));
    await after.body.dump();
    t.is(after.statusCode, 200);
  });
});

const MALFORMED_DATA = [
  ['bytes', Buffer.from([0x16, 0x03, 0x01, 0x02, 0x00, 0x01, 0x00, 0xff, 0xfe, 0x0a, 0x0a])],
  ['a long header', `GET / HTTP/1.1\r\nx: ${'y'.repeat(40_000)}\r\n\r\n`],
] as const;

const sendRaw = async (address: string, data: string | Buffer): Promise<string> => {
  const [host, port] = address.split(':');
  const socket = connect(Number(port), host);
  let text = '';
  socket.on('data', (chunk) => {
    text += String(chunk);
  });
  socket.on('error', () => {});
  socket.write(data);
  await once(socket, 'close');
  return text;
};

MALFORMED_DATA.forEach(([name, data]) => {
  test.serial(`${name} on each port gets a structured error`, async (t) => {
    for (const address of dev.listenAddresses) {
      const text = await sendRaw(address, data);
      const [head = '', body = '{}'] = text.split('\r\n\r\n');
      t.regex(head, /^HTTP\/1\.1 4\d\d /, address);
      t.like(JSON.parse(body), { error: { type: 'invalid_request', outcome: 'not_run' } });
    }
  });
});
