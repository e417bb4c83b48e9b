import test from 'ava';
import type { Bill } from '../ledger';
import type { StandinRun } from '../standin';
import {
  callEntry,
  fetchDeferred,
  startCluster,
  waitFor,
  type CallOptions,
  type Cluster,
} from './cluster';

type Case = Omit<CallOptions, 'entry' | 'organisation' | 'text'>;

const CASES: Readonly<Record<string, Case>> = {
  'a plain request': { kind: 'plain' },
  'a plain request for a model by name': { kind: 'plain', model: 'large' },
  'a streamed request': { kind: 'stream', tokens: 40 },
  'a streamed request with usage': { kind: 'stream', wantsUsage: true },
  'a deferred request': { kind: 'deferred' },
  'a plain request with a key': { kind: 'plain', key: 'key-1' },
  'a plain request in a session': { kind: 'plain', session: 'session-1', model: 'small' },
};

// The router requests a usage event for every stream and drops it unless the caller asked for it.
const formatExpected = (run: StandinRun, options: Case): string => {
  if (options.kind !== 'stream' || options.wantsUsage === true) return run.sent;
  const events = run.sent.split('\n\n');
  return events.filter((event) => !event.includes('"usage":{')).join('\n\n');
};

let cluster: Cluster;
let entry = '';

test.before(async () => {
  cluster = await startCluster({ controls: 3, engines: [{}, {}] });
  [entry] = cluster.entries as [string];
  await waitFor('an endpoint in the view', async () => {
    const answer = await callEntry({ entry, organisation: 'yard', kind: 'plain', text: 'first' });
    return answer.status === 200;
  });
});

test.after.always(() => cluster?.stop());

const listRuns = (text: string): readonly StandinRun[] =>
  cluster.engines.flatMap((engine) => engine.listRuns()).filter((run) => run.input.includes(text));

const findBill = async (requestId: string): Promise<Bill | undefined> => {
  const answer = await cluster.callAdmin(0, 'GET', '/admin/bills');
  const { bills } = answer.body as { readonly bills: readonly Bill[] };
  const own = bills.filter((bill) => bill.requestId === requestId);
  if (own.length > 1) throw new Error(`${requestId} is billed ${own.length} times`);
  return own[0];
};

const waitForBill = async (requestId: string): Promise<Bill> => {
  await waitFor('the bill', async () => (await findBill(requestId)) !== undefined);
  return (await findBill(requestId))!;
};

const readDeferredBody = async (requestId: string): Promise<string> => {
  await waitFor('the deferred answer', async () => {
    const { status } = await fetchDeferred(entry, 'yard', requestId);
    return status === 'done';
  });
  return (await fetchDeferred(entry, 'yard', requestId)).response!.body;
};

Object.entries(CASES).forEach(([title, options], index) => {
  test(`${title} returns the engine's bytes unchanged and creates one bill for its usage`, async (t) => {
    const text = `case-${index}-end`;
    const answer = await callEntry({ entry, organisation: 'yard', text, ...options });
    t.is(answer.status, options.kind === 'deferred' ? 202 : 200);
    const body =
      options.kind === 'deferred' ? await readDeferredBody(answer.requestId) : answer.body;
    const [run, ...others] = listRuns(text);
    t.deepEqual(others, []);
    t.is(body, formatExpected(run!, options));
    t.is(run!.requestId, answer.requestId);
    const bill = await waitForBill(answer.requestId);
    const [usage] = bill.usage;
    t.is(bill.organisation, 'yard');
    t.deepEqual(
      [`${usage!.model}@${usage!.version}`, usage!.inputTokens, usage!.outputTokens],
      [run!.model, run!.inputTokens, run!.outputTokens],
    );
  });
});

(['GET', 'POST'] as const).forEach((method) => {
  test(`the answer of a plain service to ${method} is returned unchanged`, async (t) => {
    const text = `service-${method}-end`;
    const answer = await callEntry({ entry, organisation: 'yard', kind: 'service', text, method });
    const calls = cluster.service.listCalls().filter((call) => call.path.includes(text));
    t.is(answer.status, 200);
    t.deepEqual(
      calls.map((call) => [call.output, call.method, call.requestId]),
      [[answer.body, method, answer.requestId]],
    );
    t.is((await waitForBill(answer.requestId)).organisation, 'yard');
  });
});

test('an organisation cannot use a model or service that it is not allowed to use', async (t) => {
  const text = 'refused-end';
  const common = { entry, organisation: 'rack', text } as const;
  const model = await callEntry({ ...common, kind: 'plain', model: 'large' });
  const service = await callEntry({ ...common, kind: 'service' });
  t.deepEqual([model.status, service.status], [403, 403]);
  for (const answer of [model, service]) {
    const { error } = JSON.parse(answer.body) as { readonly error: { readonly outcome: string } };
    t.is(error.outcome, 'not_run');
  }
  t.deepEqual(listRuns(text), []);
});
