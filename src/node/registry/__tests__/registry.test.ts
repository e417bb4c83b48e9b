import test from 'ava';
import { createRegistry, mergeRecords, type EndpointReport, type Registry } from '..';

const BASE: EndpointReport = {
  id: 'e-1',
  startedAt: 100,
  sequence: 1,
  service: 's',
  address: '10.0.0.1:80',
  zone: 'a',
  version: 'v1',
  slots: 4,
  state: 'ready',
  warmupMs: 0,
  models: [],
};

type Step = (registry: Registry) => void;

const createReportStep =
  (fields: Partial<EndpointReport>, now = 0): Step =>
  (registry) => {
    registry.applyReport({ ...BASE, ...fields }, now);
  };
const createLeaveStep =
  (id: string, startedAt?: number): Step =>
  (registry) => {
    registry.applyLeave(id, startedAt, 0);
  };
const createExpiryStep =
  (now: number): Step =>
  (registry) => {
    registry.expire(now);
  };

const cases: readonly {
  readonly name: string;
  readonly steps: readonly Step[];
  readonly states: Readonly<Record<string, string>>;
}[] = [
  {
    name: 'a first report adds the endpoint',
    steps: [createReportStep({})],
    states: { 'e-1': 'ready' },
  },
  {
    name: 'a late report does not undo draining',
    steps: [
      createReportStep({ sequence: 5, state: 'draining' }),
      createReportStep({ sequence: 4 }),
    ],
    states: { 'e-1': 'draining' },
  },
  {
    name: 'a newer report of the same start does not undo draining',
    steps: [
      createReportStep({ sequence: 5, state: 'draining' }),
      createReportStep({ sequence: 6 }),
    ],
    states: { 'e-1': 'draining' },
  },
  {
    name: 'a late report does not restore an endpoint that has left',
    steps: [createReportStep({}), createLeaveStep('e-1'), createReportStep({ sequence: 9 })],
    states: { 'e-1': 'gone' },
  },
  {
    name: 'a new start with the old id restores an endpoint that has left',
    steps: [createReportStep({}), createLeaveStep('e-1'), createReportStep({ startedAt: 200 })],
    states: { 'e-1': 'ready' },
  },
  {
    name: 'a leave of an earlier start does not affect a later start',
    steps: [createReportStep({ startedAt: 200 }), createLeaveStep('e-1', 100)],
    states: { 'e-1': 'ready' },
  },
  {
    name: 'a later start at an address removes the earlier endpoint there',
    steps: [createReportStep({}), createReportStep({ id: 'e-2', startedAt: 200, service: 't' })],
    states: { 'e-1': 'gone', 'e-2': 'ready' },
  },
  {
    name: 'a delayed report of an earlier endpoint does not take the address back',
    steps: [createReportStep({ id: 'e-2', startedAt: 200 }), createReportStep({ sequence: 7 })],
    states: { 'e-2': 'ready' },
  },
  {
    name: 'an endpoint without reports becomes silent',
    steps: [createReportStep({}), createExpiryStep(1_001)],
    states: { 'e-1': 'silent' },
  },
  {
    name: 'a report makes a silent endpoint ready',
    steps: [
      createReportStep({}),
      createExpiryStep(1_001),
      createReportStep({ sequence: 2 }, 1_002),
    ],
    states: { 'e-1': 'ready' },
  },
  {
    name: 'an ended endpoint is removed after the retention period',
    steps: [createReportStep({}), createLeaveStep('e-1'), createExpiryStep(10_001)],
    states: {},
  },
];

for (const { name, steps, states } of cases) {
  test(`registry: ${name}`, (t) => {
    const registry = createRegistry({ reportTimeoutMs: 1_000, retentionMs: 10_000 });
    steps.forEach((step) => step(registry));
    const found = registry.list().map((record) => [record.report.id, record.state]);
    t.deepEqual(Object.fromEntries(found), states);
  });
}

test('registry: refreshed reports are not listed as changes since a revision, other changes are', (t) => {
  const registry = createRegistry({ reportTimeoutMs: 1_000, retentionMs: 10_000 });
  registry.applyReport(BASE, 0);
  const revision = registry.revision();
  t.is(registry.applyReport({ ...BASE, sequence: 2 }, 5), 'refreshed');
  t.deepEqual(registry.readChanges(revision, Infinity).records, []);
  t.is(registry.applyReport({ ...BASE, sequence: 3, state: 'draining' }, 6), 'changed');
  t.is(registry.readChanges(revision, Infinity).records.length, 1);
});

const createRecord = (state: 'ready' | 'draining' | 'gone' | 'silent', fields = {}) => ({
  report: { ...BASE, ...fields },
  state,
  heardAt: 0,
});

const merges = [
  {
    name: 'silent at one host, ready at another',
    lists: [['silent'], ['ready']],
    known: ['e-1 ready'],
  },
  { name: 'gone at one host', lists: [['gone'], ['ready']], known: [] },
  {
    name: 'draining at one host, ready at another',
    lists: [['draining'], ['ready']],
    known: ['e-1 draining'],
  },
  { name: 'silent at all hosts', lists: [['silent'], ['silent']], known: [] },
] as const;

for (const { name, lists, known } of merges) {
  test(`merged records: ${name}`, (t) => {
    const merged = mergeRecords(lists.map((states) => states.map((state) => createRecord(state))));
    t.deepEqual(
      merged.map(({ report: { id }, isReady }) => `${id} ${isReady ? 'ready' : 'draining'}`),
      [...known],
    );
  });
}

test('merged records: the latest start at an address wins', (t) => {
  const later = createRecord('ready', { id: 'e-2', startedAt: 300 });
  const merged = mergeRecords([[createRecord('ready')], [later]]);
  t.deepEqual(
    merged.map((item) => item.report.id),
    ['e-2'],
  );
});

const createColdRegistry = (): Registry => {
  const registry = createRegistry({
    reportTimeoutMs: 7_000,
    retentionMs: 60_000,
    overdueMs: 3_000,
    hasColdStart: (service) => service === 's',
  });
  registry.applyReport(BASE, 0);
  return registry;
};

const overdue = [
  { name: 'on time', service: 's', now: 2_900, isOverdue: false },
  { name: 'missing', service: 's', now: 3_100, isOverdue: true },
  { name: 'missing, without cold rates', service: 'other', now: 3_100, isOverdue: false },
] as const;

// Guards against an endpoint that is taken for warm although nothing is heard of it.
for (const { name, service, now, isOverdue } of overdue) {
  test(`reports that are ${name}`, (t) => {
    const registry = createColdRegistry();
    registry.applyReport({ ...BASE, id: 'e-2', address: '10.0.0.2:80', service }, 0);
    registry.expire(now);
    t.is(registry.find('e-2')?.isOverdue === true, isOverdue);
    const { revision } = registry;
    const before = revision();
    registry.applyReport({ ...BASE, id: 'e-2', address: '10.0.0.2:80', service, sequence: 2 }, now);
    t.is(registry.find('e-2')?.isOverdue, undefined);
    t.is(revision() > before, isOverdue, 'gateways hear that reports come again');
  });
}

// Guards against a doubted endpoint that stays doubted because gateways hear of changes only.
test('every report of a followed endpoint counts as a change', (t) => {
  const registry = createColdRegistry();
  const countChanges = (sequence: number, now: number): number => {
    const before = registry.revision();
    registry.applyReport({ ...BASE, sequence }, now);
    return registry.readChanges(before, Infinity).records.length;
  };
  t.is(countChanges(2, 1_000), 0);
  registry.follow(['e-1'], 1_000);
  t.is(countChanges(3, 2_000), 1);
  t.is(countChanges(4, 9_000), 0, 'the gateway has not asked again');
});

// Guards against an endpoint that becomes cold again while it is cold.
test('a longer remaining cold time counts as a change', (t) => {
  const registry = createColdRegistry();
  const outcomes = [3_000, 1_800, 2_900].map((warmupMs, index) =>
    registry.applyReport({ ...BASE, warmupMs, sequence: 2 + index }, 1_000),
  );
  t.deepEqual(outcomes, ['changed', 'refreshed', 'changed']);
});

test('reports are missing only if no control host has heard of the endpoint', (t) => {
  const record = { report: BASE, state: 'ready', heardAt: 0 } as const;
  const isOverdue = (lists: readonly boolean[]): boolean =>
    mergeRecords(lists.map((item) => [{ ...record, isOverdue: item }]))[0]!.isOverdue === true;
  t.false(isOverdue([true, false]));
  t.true(isOverdue([true, true]));
});
