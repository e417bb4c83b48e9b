import test from 'ava';
import {
  ANSWER_RETENTION_MS,
  BILL_RETENTION_MS,
  createLedgerState,
  DEFERRED_COUNT_LIMIT,
  KEY_RETENTION_MS,
  REQUEST_RETENTION_MS,
  SESSION_RETENTION_MS,
  type AttemptReport,
  type LedgerCommand,
  type LedgerState,
  type RequestRecord,
} from '..';

const ORGANISATION = 'north';
const FIRST = { node: 'entry-1', incarnation: 1 };
const SECOND = { node: 'entry-2', incarnation: 2 };
const AGENT = { agent: 'agent-1', incarnation: 3 };
const MODEL = { model: 'small', version: 'v1' };
const USAGE = { ...MODEL, inputTokens: 5, outputTokens: 7, cost: 0.5 };
const ANSWER = { status: 200, contentType: 'text/plain', body: 'eA==', ...MODEL };

const createClaim = (requestId: string, bodyHash = 'a', at = 0): LedgerCommand => ({
  type: 'claim',
  organisation: ORGANISATION,
  key: 'key',
  bodyHash,
  requestId,
  owner: FIRST,
  at,
});

const createIntent = (requestId: string, attempt = 0): LedgerCommand => ({
  type: 'intent',
  organisation: ORGANISATION,
  requestId,
  attempt,
  ...AGENT,
  ...MODEL,
  owner: FIRST,
  at: 0,
});

const createReport = (
  outcome: AttemptReport['outcome'],
  attempt = 0,
  outputTokens = 7,
): AttemptReport => ({
  attempt,
  ...AGENT,
  ...MODEL,
  outcome,
  usage: outcome === 'ran' ? { ...USAGE, outputTokens } : undefined,
});

const createSettle = (
  requestId: string,
  outcome: 'ran' | 'not_run' | 'unknown',
  reports: readonly AttemptReport[],
  at = 0,
): LedgerCommand => ({
  type: 'settle',
  organisation: ORGANISATION,
  requestId,
  owner: FIRST,
  outcome,
  reports,
  answer: outcome === 'ran' ? ANSWER : undefined,
  at,
});

const createDefer = (requestId: string, session: string, idempotent = true): LedgerCommand => ({
  type: 'defer',
  organisation: ORGANISATION,
  requestId,
  session,
  idempotent,
  request: { path: '/', headers: {}, body: 'eA==' },
  at: 0,
});

const createAgentReport = (requestId: string, report: AttemptReport): LedgerCommand => ({
  type: 'report',
  organisation: ORGANISATION,
  requestId,
  report,
  owner: FIRST,
  at: 0,
});

const createTake = (owner = FIRST, holds: readonly string[] = ['r1']): LedgerCommand => ({
  type: 'take',
  owner,
  holds,
  limit: 10,
  at: 0,
});
const END_FIRST: LedgerCommand = { type: 'endIncarnation', node: 'entry-1', below: 2, at: 0 };
const END_AGENT: LedgerCommand = { type: 'endIncarnation', node: 'agent-1', below: 4, at: 0 };
const createExpire = (at: number): LedgerCommand => ({ type: 'expire', at });

const applyAll = (state: LedgerState, commands: readonly LedgerCommand[]) =>
  commands.map((command, index) => state.apply(index + 1, command));

interface Case {
  readonly name: string;
  readonly commands: readonly LedgerCommand[];
  readonly last: object;
  /** Expected state of request `r1`. */
  readonly state?: RequestRecord['state'];
  /** Expected output tokens of each line on the bill of `r1`. */
  readonly billed?: readonly number[];
}

const cases: readonly Case[] = [
  {
    name: 'a second request with the same key gets the record of the first',
    commands: [createClaim('r1'), createClaim('r2')],
    last: { type: 'known', isOwnerGone: false },
    state: 'running',
  },
  {
    name: 'another body with the same key conflicts',
    commands: [createClaim('r1'), createClaim('r2', 'b')],
    last: { type: 'keyConflict' },
  },
  {
    name: 'a key can be claimed again if its request has not run',
    commands: [createClaim('r1'), createSettle('r1', 'not_run', []), createClaim('r2')],
    last: { type: 'claimed', requestId: 'r2' },
    state: 'not_run',
  },
  {
    name: 'an entry that has ended cannot claim a key',
    commands: [END_FIRST, createClaim('r1')],
    last: { type: 'refused' },
  },
  {
    name: 'an attempt reported by its entry and its agent has one bill line',
    commands: [
      createIntent('r1'),
      createSettle('r1', 'ran', [createReport('ran')]),
      createAgentReport('r1', createReport('ran', 0, 9)),
    ],
    last: { type: 'recorded', first: false, differs: true },
    state: 'done',
    billed: [7],
  },
  {
    name: 'an agent report bills an attempt whose entry has ended',
    commands: [createIntent('r1'), createAgentReport('r1', createReport('ran')), END_FIRST],
    last: { type: 'recorded', first: true },
    state: 'done',
    billed: [7],
  },
  {
    name: 'a report that arrives before its intent is billed once',
    commands: [
      createAgentReport('r1', createReport('ran')),
      createIntent('r1'),
      createSettle('r1', 'ran', [createReport('ran')]),
    ],
    last: { type: 'settled', first: true, state: 'done' },
    billed: [7],
  },
  {
    name: 'a bill has one line for each attempt of its request',
    commands: [
      createSettle('r1', 'ran', [createReport('ran', 0, 1), createReport('ran', 1, 2)]),
      createAgentReport('r1', createReport('ran', 2, 4)),
    ],
    last: { type: 'recorded', first: true },
    billed: [1, 2, 4],
  },
  {
    name: 'the outcome not_run is replaced by unknown while an attempt is open',
    commands: [createIntent('r1'), createSettle('r1', 'not_run', [])],
    last: { type: 'settled', state: 'unknown' },
    state: 'unknown',
  },
  {
    name: 'the outcome not_run is replaced by done if an attempt ran',
    commands: [
      createAgentReport('r1', createReport('ran')),
      createSettle('r1', 'not_run', [createReport('never')]),
    ],
    last: { type: 'settled', state: 'done' },
    billed: [7],
  },
  {
    name: 'a new intent for a settled request is refused',
    commands: [createSettle('r1', 'not_run', []), createIntent('r1')],
    last: { type: 'refused' },
    state: 'not_run',
  },
  {
    name: 'an attempt of an ended agent is billed without tokens',
    commands: [createIntent('r1'), END_AGENT, createSettle('r1', 'unknown', [])],
    last: { type: 'settled', state: 'unknown' },
    state: 'unknown',
    billed: [0],
  },
  {
    name: 'a late report of an ended agent replaces the bill line without tokens',
    commands: [createIntent('r1'), END_AGENT, createAgentReport('r1', createReport('ran'))],
    last: { type: 'recorded', first: true, differs: false },
    billed: [7],
  },
  {
    name: 'a session runs one deferred request at a time, in order',
    commands: [createDefer('r1', 's'), createDefer('r2', 's'), createTake(), createTake()],
    last: { type: 'taken', records: [] },
    state: 'running',
  },
  {
    name: 'a deferred request that its owner never received is handed out again',
    commands: [createDefer('r1', 's', false), createTake(), createTake(FIRST, [])],
    last: { type: 'taken' },
    state: 'running',
  },
  {
    name: 'a deferred request that its owner lost after an attempt is not handed out again',
    commands: [
      createDefer('r1', 's', false),
      createTake(),
      createIntent('r1'),
      createTake(FIRST, []),
    ],
    last: { type: 'taken', records: [] },
    state: 'unknown',
  },
  {
    name: 'an idempotent deferred request of an ended entry is handed out again',
    commands: [
      createDefer('r1', 's'),
      createTake(),
      createIntent('r1'),
      END_FIRST,
      createTake(SECOND),
    ],
    last: { type: 'taken' },
    state: 'running',
  },
  {
    name: 'a non-idempotent deferred request that may have run becomes unknown',
    commands: [createDefer('r1', 's', false), createTake(), createIntent('r1'), END_FIRST],
    last: { type: 'recorded', first: true },
    state: 'unknown',
  },
  {
    name: 'a deferred request without attempts returns to its queue if its entry has ended',
    commands: [createDefer('r1', 's', false), createTake(), END_FIRST],
    last: { type: 'recorded', first: true },
    state: 'queued',
  },
  {
    name: 'the answer of a replaced owner changes only the bill',
    commands: [
      createDefer('r1', 's'),
      createTake(),
      END_FIRST,
      createTake(SECOND),
      createSettle('r1', 'ran', [createReport('ran')]),
    ],
    last: { type: 'settled', first: false, state: 'running' },
    state: 'running',
    billed: [7],
  },
  {
    name: 'a key is refused after its answer has expired',
    commands: [
      createClaim('r1'),
      createSettle('r1', 'ran', [createReport('ran')]),
      createExpire(ANSWER_RETENTION_MS + 1),
      createClaim('r2'),
    ],
    last: { type: 'keyExpired' },
  },
  {
    name: 'a UUID v7 key with an expired time is refused permanently',
    commands: [
      createExpire(KEY_RETENTION_MS * 2),
      { ...createClaim('r1'), key: '00000000-0001-7000-8000-000000000000' } as LedgerCommand,
    ],
    last: { type: 'keyExpired' },
  },
];

cases.forEach(({ name, commands, last, state, billed }) => {
  test(name, (t) => {
    const ledger = createLedgerState();
    t.like(applyAll(ledger, commands).at(-1), last);
    if (state !== undefined) t.is(ledger.findRequest(ORGANISATION, 'r1')?.state, state);
    const bill = ledger.listBills().find((item) => item.requestId === 'r1');
    if (billed)
      t.deepEqual(
        bill?.usage.map((line) => line.outputTokens),
        billed,
      );
    const copy = createLedgerState();
    copy.restore(JSON.parse(JSON.stringify(ledger.snapshot())));
    t.is(JSON.stringify(copy.snapshot()), JSON.stringify(ledger.snapshot()));
    t.deepEqual([copy.countOpen(), copy.countQueues()], [ledger.countOpen(), ledger.countQueues()]);
  });
});

test('the retention periods empty every table', (t) => {
  const ledger = createLedgerState();
  applyAll(ledger, [
    createClaim('r1'),
    createSettle('r1', 'ran', [createReport('ran')]),
    createIntent('r2'),
    createSettle('r2', 'ran', [createReport('ran')]),
    { type: 'bindSession', organisation: ORGANISATION, session: 's', ...MODEL, at: 0 },
    createExpire(REQUEST_RETENTION_MS + 1),
  ]);
  t.truthy(ledger.findRequest(ORGANISATION, 'r1'));
  t.is(ledger.findRequest(ORGANISATION, 'r2'), undefined);
  applyAll(ledger, [createExpire(BILL_RETENTION_MS + 1)]);
  t.deepEqual(ledger.listBills(), []);
  t.like(ledger.listTotals()[0], { requests: 2, outputTokens: 14, cost: 1 });
  applyAll(ledger, [createExpire(SESSION_RETENTION_MS * 5)]);
  t.like(ledger.snapshot(), { sessions: [], claims: [], requests: [], totals: [] });
});

test('deferred requests above the limit are refused and not stored', (t) => {
  const ledger = createLedgerState();
  for (let count = 0; count < DEFERRED_COUNT_LIMIT; count += 1) {
    ledger.apply(count + 1, createDefer(`d${count}`, `s${count % 100}`));
  }
  t.like(ledger.apply(0, createDefer('last', 's')), { type: 'refused' });
  t.is(ledger.findRequest(ORGANISATION, 'last'), undefined);
});

test('a session stays bound to its first version, separately for each organisation', (t) => {
  const ledger = createLedgerState();
  const bind = (organisation: string, version: string) =>
    ledger.apply(1, {
      type: 'bindSession',
      organisation,
      session: 's',
      model: 'm',
      version,
      at: 0,
    });
  t.like(bind('north', 'v1'), { version: 'v1' });
  t.like(bind('north', 'v2'), { version: 'v1' });
  t.like(bind('south', 'v2'), { version: 'v2' });
  t.is(ledger.findBinding('east', 's'), undefined);
});
