import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test, { type ExecutionContext } from 'ava';
import { request } from 'undici';
import { startDev, type Dev } from '../../dev';
import type { Inventory } from '../../inventory';
import { createRootLogger } from '../../log';
import type { AdminStatus, Explanation } from '../../shared';
import { runInMemory, type CliRun } from './runInMemory';

interface Context {
  readonly dev: Dev;
  readonly run: (...args: readonly string[]) => Promise<CliRun>;
  readonly readInventory: () => Promise<Inventory>;
  readonly writeInventory: (change: Partial<Inventory>) => Promise<string>;
}

const startContext = async (t: ExecutionContext): Promise<Context> => {
  const log = createRootLogger({ level: 'silent', node: 'dev' });
  const dev = await startDev({ port: 0, log });
  t.teardown(dev.stop);
  const run = (...args: readonly string[]): Promise<CliRun> => {
    const operator = ['--control', dev.controlAddress, '--secret-file', dev.secretFile];
    return runInMemory([...args, ...operator]);
  };
  const readInventory = async (): Promise<Inventory> =>
    JSON.parse((await run('status', '--inventory')).out) as Inventory;
  const writeInventory = async (change: Partial<Inventory>): Promise<string> => {
    const file = join(mkdtempSync(join(tmpdir(), 'oleanderfront-')), 'inventory.jsonc');
    writeFileSync(file, JSON.stringify({ ...(await readInventory()), ...change }));
    return file;
  };
  return { dev, run, readInventory, writeInventory };
};

const sendChat = async (dev: Dev, key: string, model: string) => {
  const response = await request(`http://${dev.address}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json' },
    body: JSON.stringify({ model, messages: [{ role: 'user', content: 'How deep?' }] }),
  });
  const body = (await response.body.json()) as { readonly error?: { readonly request_id: string } };
  const id = body.error?.request_id ?? String(response.headers['x-request-id']);
  return { status: response.statusCode, id };
};

test('apply accepts a repeated change id and refuses a conflicting or reused one', async (t) => {
  const { run, writeInventory } = await startContext(t);
  const file = await writeInventory({ hosts: [{ name: 'h', zone: 'dev-zone', address: '::1' }] });
  const first = await run('apply', file, '--change-id', 'one', '--wait');
  t.is(first.code, 0, first.error);
  t.regex(first.out, /accepted as revision 2, change one\nin force everywhere after \d+ ms/);
  const again = await run('apply', file, '--change-id', 'one');
  t.is(again.code, 0, again.error);
  t.regex(again.out, /accepted as revision 2, change one/);
  const conflicting = await run('apply', file, '--change-id', 'two', '--base', '1');
  t.is(conflicting.code, 4);
  t.regex(conflicting.error, /change 'one' took revision 2/);
  const conflictingAgain = await run('apply', file, '--change-id', 'two', '--base', '1');
  t.is(conflictingAgain.code, 4);
  const other = await writeInventory({ hosts: [] });
  const reused = await run('apply', other, '--change-id', 'one');
  t.is(reused.code, 4);
  t.regex(reused.error, /change id 'one' was used for another change/);
});

test('a conflict response names the accepted change and the current revision', async (t) => {
  const { dev, readInventory } = await startContext(t);
  const inventory = await readInventory();
  const response = await request(`http://${dev.controlAddress}/admin/inventory`, {
    method: 'PUT',
    headers: { authorization: `Bearer ${dev.operatorSecret}`, 'content-type': 'application/json' },
    body: JSON.stringify({ base: 0, changeId: 'late', inventory }),
  });
  t.is(response.statusCode, 409);
  const body = (await response.body.json()) as Readonly<Record<string, unknown>>;
  t.is(body.winner, 'dev-first');
  t.is(body.inventoryRevision, 1);
});

test('an inventory with faults is refused by the command and by the control host', async (t) => {
  const { dev, run, writeInventory, readInventory } = await startContext(t);
  const hosts = [{ name: 'h', zone: 'no-zone', address: '::1' }];
  const refused = await run('apply', await writeInventory({ hosts }));
  t.is(refused.code, 3);
  t.regex(refused.error, /hosts\.0\.zone: unknown zone 'no-zone'/);
  const inventory = { ...(await readInventory()), hosts };
  const response = await request(`http://${dev.controlAddress}/admin/inventory`, {
    method: 'PUT',
    headers: { authorization: `Bearer ${dev.operatorSecret}`, 'content-type': 'application/json' },
    body: JSON.stringify({ base: 1, changeId: 'bad', inventory }),
  });
  t.is(response.statusCode, 400);
  await response.body.dump();
});

test('apply --import merges a CSV register into the running inventory', async (t) => {
  const { run, readInventory } = await startContext(t);
  const folder = mkdtempSync(join(tmpdir(), 'oleanderfront-'));
  const file = join(folder, 'register.csv');
  writeFileSync(file, 'kind,name,zone,address\nhost,h9,dev-zone,10.0.0.9\n');
  const done = await run('apply', '--import', file, '--json');
  t.is(done.code, 0, done.error);
  t.is((await readInventory()).hosts[0]?.name, 'h9');
  writeFileSync(file, 'kind,name,zone,address\nhots,h1,dev-zone,x\nhost,h2,zone-9,y\n');
  const bad = await run('apply', '--import', file);
  t.is(bad.code, 3);
  t.regex(bad.error, /register\.csv:2: kind: unknown kind 'hots'; did you mean 'host'\?/);
  t.regex(bad.error, /register\.csv:3: hosts 'h2' zone: unknown zone 'zone-9'/);
});

test('check --against shows what a change would do', async (t) => {
  const { dev, run, readInventory, writeInventory } = await startContext(t);
  const { models, organisations } = await readInventory();
  const file = await writeInventory({
    models: models.map((model) =>
      model.name === 'small' ? { ...model, stableVersion: 'v2' } : model,
    ),
    organisations: organisations.map((item) => ({
      ...item,
      models: item.models.filter(({ name }) => name !== 'large'),
    })),
  });
  const result = await run('check', file, '--against', dev.controlAddress);
  t.is(result.code, 0, result.error);
  t.regex(result.out, /changed +model +small +new sessions go to v2, not v1/);
  t.regex(result.out, /changed +organisation +dev +loses model large/);
});

test('a withdrawn version gets no new work until it is restored', async (t) => {
  const { dev, run } = await startContext(t);
  t.is((await sendChat(dev, 'dev-key-2', 'small')).status, 200);
  const withdrawn = await run('withdraw', 'small', 'v1', '--reason', 'wrong prices', '--wait');
  t.is(withdrawn.code, 0, withdrawn.error);
  t.not((await sendChat(dev, 'dev-key-2', 'small')).status, 200);
  t.regex((await run('status')).out, /small@v1 +wrong prices/);
  t.is((await run('withdraw', 'small', 'v1', '--restore', '--wait')).code, 0);
  t.is((await sendChat(dev, 'dev-key-2', 'small')).status, 200);
  const unknown = await run('withdraw', 'smal', 'v1');
  t.regex(unknown.error, /unknown model 'smal'; did you mean 'small'\?/);
  t.is(unknown.code, 1);
});

test('a roll-out is started, paused and aborted once each', async (t) => {
  const { run } = await startContext(t);
  t.is((await run('rollout', 'start', 'small', 'v2', '--change-id', 'r1')).code, 0);
  t.is((await run('rollout', 'start', 'small', 'v2', '--change-id', 'r1')).code, 0);
  t.is((await run('rollout', 'start', 'small', 'v2', '--change-id', 'r2')).code, 3);
  t.is((await run('rollout', 'pause', 'small')).code, 0);
  t.regex((await run('rollout', 'status', 'small')).out, /small +v1 +v2 +\d+ +paused/);
  t.is((await run('rollout', 'resume', 'small')).code, 0);
  t.is((await run('rollout', 'abort', 'small', '--reason', 'enough')).code, 0);
  t.regex((await run('rollout', 'status')).out, /aborted +enough/);
});

test('bills as table, JSON and CSV agree', async (t) => {
  const { dev, run } = await startContext(t);
  await sendChat(dev, 'dev-key', 'large');
  await sendChat(dev, 'dev-key', 'large');
  await sendChat(dev, 'dev-key-2', 'large');
  const json = JSON.parse((await run('bills', '--json')).out) as {
    readonly bills: readonly { readonly requests: number; readonly cost: number }[];
  };
  t.is(json.bills.length, 1);
  const { requests, cost } = json.bills[0]!;
  t.is(requests, 2);
  t.regex((await run('bills')).out, new RegExp(`dev .* large .* 2 .* ${cost}\n`));
  t.regex((await run('bills', '--csv')).out, new RegExp(`,large,v1,2,.*,${cost}\n`));
  t.regex((await run('bills', '--organisation', 'dev-2')).out, /no bills/);
});

// For 'auto', the policy explores: in some runs a cascade answers, with one row of the bill for each
// of its runs.
for (const model of ['small', 'auto']) {
  test(`explain shows a choice and its bill: ${model}`, async (t) => {
    const { dev, run } = await startContext(t);
    const answered = await sendChat(dev, 'dev-key', model);
    const chosen = JSON.parse((await run('explain', answered.id, '--json')).out) as Explanation;
    t.is(chosen.entry, 'entry-1');
    t.true(chosen.decisions.length >= 1);
    chosen.decisions.forEach(({ decision, fields }) => {
      t.is(decision, 'routed');
      t.is(fields.endpoint, 'engine-1');
    });
    if (model !== 'auto') t.is(chosen.decisions.length, 1);
    t.deepEqual(
      chosen.bills.map((row) => row.model).sort(),
      chosen.decisions.map(({ fields }) => fields.model as string).sort(),
      JSON.stringify(chosen),
    );
    t.is(
      chosen.bills.reduce((sum, { requests }) => sum + requests, 0),
      1,
    );
  });
}

test('explain shows a refusal', async (t) => {
  const { dev, run } = await startContext(t);
  const refused = await sendChat(dev, 'dev-key-2', 'large');
  t.regex((await run('explain', refused.id)).out, /refused\n[^]*not allowed/);
  t.is((await run('explain', 'req_1_none')).code, 1);
});

test('status as JSON lists nodes and endpoints and is confirmed by a quorum', async (t) => {
  const { run } = await startContext(t);
  const status = JSON.parse((await run('status', '--json')).out) as AdminStatus;
  t.true(status.isConfirmed);
  t.deepEqual(status.nodes.map(({ node }) => node).sort(), ['agent-1', 'agent-2', 'entry-1']);
  t.deepEqual(status.members.map(({ endpoint }) => endpoint).sort(), ['bookings-1', 'engine-1']);
});

test('a wrong secret is refused and an unreachable first control host is skipped', async (t) => {
  const { dev } = await startContext(t);
  const wrong = {
    OLEANDERFRONT_OPERATOR_SECRET: 'wrong',
    OLEANDERFRONT_CONTROL: dev.controlAddress,
  };
  const refused = await runInMemory(['status'], wrong);
  t.is(refused.code, 1);
  t.regex(refused.error, /the secret is wrong/);
  const right = { OLEANDERFRONT_OPERATOR_SECRET: dev.operatorSecret };
  const control = `127.0.0.1:1,${dev.controlAddress}`;
  t.is((await runInMemory(['status', '--control', control], right)).code, 0);
});
