import test from 'ava';
import { request } from 'undici';
import { startDev, type Dev } from '../../dev';
import type { Bill } from '../../ledger';
import { createRootLogger } from '../../log';
import type { StandinCall, StandinRun } from '../../standin';

const CHAT = '/v1/chat/completions';
const WAIT_STEP_MS = 50;
const WAIT_STEPS = 200;

let dev: Dev;

const log = createRootLogger({ level: 'silent', node: 'dev' });

test.before(async () => {
  dev = await startDev({ port: 0, log });
});
test.after.always(() => dev.stop());

type Headers = Readonly<Record<string, string>>;

const sendTo = (path: string, body: string | Buffer | undefined, headers: Headers = {}) =>
  request(`http://${dev.address}${path}`, {
    method: body === undefined ? 'GET' : 'POST',
    headers: { authorization: 'Bearer dev-key', 'content-type': 'application/json', ...headers },
    body,
  });

const createChat = (content: string, fields: object = {}): string =>
  JSON.stringify({ model: 'small', messages: [{ role: 'user', content }], ...fields });

const fetchRuns = async (from: Dev = dev): Promise<readonly StandinRun[]> => {
  const response = await request(`http://${from.engineAddress}/record`);
  return ((await response.body.json()) as { readonly runs: readonly StandinRun[] }).runs;
};

const fetchCalls = async (): Promise<readonly StandinCall[]> => {
  const response = await request(`http://${dev.serviceAddress}/record`);
  return ((await response.body.json()) as { readonly calls: readonly StandinCall[] }).calls;
};

const fetchBills = async (requestId: string, from: Dev = dev): Promise<readonly Bill[]> => {
  const response = await request(`http://${from.controlAddress}/admin/bills`, {
    headers: { authorization: `Bearer ${from.operatorSecret}` },
  });
  const { bills } = (await response.body.json()) as { readonly bills: readonly Bill[] };
  return bills.filter((bill) => bill.requestId === requestId);
};

const waitFor = async <T>(read: () => Promise<T | undefined>): Promise<T> => {
  for (let step = 0; step < WAIT_STEPS; step += 1) {
    const value = await read();
    if (value !== undefined) return value;
    await new Promise((resolve) => {
      setTimeout(resolve, WAIT_STEP_MS);
    });
  }
  throw new Error('the condition did not hold in time');
};

const readRequestId = (headers: Readonly<Record<string, unknown>>): string =>
  String(headers['x-request-id']);

test('an answer has the output of the engine, and its bill the tokens of the engine', async (t) => {
  const response = await sendTo(CHAT, createChat('plain'));
  const body = (await response.body.json()) as {
    readonly choices: readonly { readonly message: { readonly content: string } }[];
  };
  const requestId = readRequestId(response.headers);
  const run = (await fetchRuns()).find((item) => item.requestId === requestId)!;
  t.is(body.choices[0]!.message.content, run.output);
  const [bill, ...others] = await fetchBills(requestId);
  t.deepEqual(others, []);
  t.like(bill?.usage[0], { inputTokens: run.inputTokens, outputTokens: run.outputTokens });
  t.true(bill?.final);
});

test('a request body reaches the engine with exact numbers and unknown fields', async (t) => {
  const text = '{ "model":"small", "messages":[{"role":"user","content":"digits"}],\n';
  const tail = '"x":12345678901234567890.10, "metadata":{"note":"é"}}';
  const response = await sendTo(CHAT, text + tail);
  await response.body.dump();
  t.is(response.statusCode, 200);
  const sent = await waitFor(async () =>
    (await fetchRuns()).find((item) => item.requestId === readRequestId(response.headers)),
  );
  t.like(JSON.parse(sent.input), { model: 'small@v1', metadata: { note: 'é' } });
});

test('a stream ends with its terminal event and is billed once', async (t) => {
  const response = await sendTo(CHAT, createChat('stream', { stream: true }));
  const text = await response.body.text();
  t.regex(text, /data: \[DONE\]\n\n$/);
  t.notRegex(text, /"usage"/);
  const run = (await fetchRuns()).find(
    (item) => item.requestId === readRequestId(response.headers),
  )!;
  const [bill] = await fetchBills(run.requestId);
  t.like(bill?.usage[0], { inputTokens: run.inputTokens, outputTokens: run.outputTokens });
});

const countPieces = (text: string): number => text.split('"content"').length - 1;

test('a caller that goes away cancels the engine, and what ran is billed', async (t) => {
  // The first piece waits for a sync of the disk; a short answer can be complete before that.
  const slow = await startDev({ port: 0, log, engineTokens: 2_000 });
  t.teardown(slow.stop);
  const controller = new AbortController();
  const response = await request(`http://${slow.address}${CHAT}`, {
    method: 'POST',
    headers: { authorization: 'Bearer dev-key' },
    body: createChat('leave', { stream: true }),
    signal: controller.signal,
  });
  const iterator = response.body[Symbol.asyncIterator]();
  const { value } = await iterator.next();
  const received = String(value);
  controller.abort();
  await iterator.next().catch(() => {});
  const requestId = readRequestId(response.headers);
  const bill = await waitFor(async () => (await fetchBills(requestId, slow))[0]);
  const run = (await fetchRuns(slow)).find((item) => item.requestId === requestId)!;
  t.is(run.state, 'cancelled');
  t.is(bill.usage.length, 1);
  t.is(bill.usage[0]!.inputTokens, run.inputTokens);
  t.true(countPieces(received) > 0);
  // What the engine made but had not sent at the cancellation is known to the engine alone.
  t.true(bill.usage[0]!.outputTokens >= countPieces(received));
  t.true(bill.usage[0]!.outputTokens <= run.outputTokens);
});

test('a retry with an idempotency key gets the stored answer and nothing runs twice', async (t) => {
  const body = createChat('deposit', { metadata: { task: 'deposit' } });
  const headers = { 'idempotency-key': 'deposit-1' };
  const [first, second] = await Promise.all([
    sendTo(CHAT, body, headers),
    sendTo(CHAT, body, headers),
  ]);
  const texts = [await first.body.text(), await second.body.text()];
  t.is(texts[0], texts[1]);
  const runs = (await fetchRuns()).filter((item) => item.input.includes('deposit'));
  t.is(runs.length, 1);
  const other = await sendTo(CHAT, createChat('other'), headers);
  t.is(other.statusCode, 409);
  t.like(await other.body.json(), { error: { type: 'conflict', outcome: 'not_run' } });
  const stranger = await sendTo(CHAT, body, { ...headers, authorization: 'Bearer dev-key-2' });
  await stranger.body.dump();
  t.is(stranger.statusCode, 200);
  t.is((await fetchRuns()).filter((item) => item.input.includes('deposit')).length, 2);
});

test('deferred requests of a session run in order and can be fetched by their owner', async (t) => {
  const headers = { prefer: 'respond-async', 'x-session-id': 'order' };
  const ids: string[] = [];
  for (const content of ['first draft', 'second draft', 'third draft']) {
    const response = await sendTo(CHAT, createChat(content), headers);
    t.is(response.statusCode, 202);
    ids.push(((await response.body.json()) as { readonly id: string }).id);
  }
  interface Fetched {
    readonly status: string;
    readonly response?: { readonly body: string };
  }
  const readDone = async (id: string): Promise<Fetched | undefined> => {
    const response = await sendTo(`/v1/requests/${id}`, undefined);
    const value = (await response.body.json()) as Fetched;
    return value.status === 'done' ? value : undefined;
  };
  const results: Fetched[] = [];
  for (const id of ids) results.push(await waitFor(() => readDone(id)));
  const runs = (await fetchRuns()).filter((item) => ids.includes(item.requestId));
  t.deepEqual(
    runs.map((item) => item.requestId),
    ids,
  );
  runs.forEach((run, index) => t.true(results[index]!.response!.body.includes(run.output)));
  const stranger = await sendTo(`/v1/requests/${ids[0]}`, undefined, {
    authorization: 'Bearer dev-key-2',
  });
  const missing = await sendTo('/v1/requests/none', undefined);
  const formatHidden = (value: unknown): string => JSON.stringify(value).replace(/req_[^"]+/, '');
  t.is(formatHidden(await stranger.body.json()), formatHidden(await missing.body.json()));
  t.is(stranger.statusCode, 404);
});

test('a plain service receives method, path, query, headers and bytes, and its answer is returned', async (t) => {
  const bytes = Buffer.from([0, 255, 1, 254]);
  const response = await sendTo('/v1/services/bookings/stock/7?a=1&b=%20', bytes, {
    'content-type': 'application/x-raw',
    'x-own': 'kept',
  });
  t.is(response.statusCode, 200);
  const text = await response.body.text();
  const requestId = readRequestId(response.headers);
  const call = (await fetchCalls()).find((item) => item.requestId === requestId)!;
  t.is(text, call.output);
  t.like(call, { method: 'POST', path: '/stock/7?a=1&b=%20' });
  t.is((await fetchBills(requestId)).length, 1);
});
