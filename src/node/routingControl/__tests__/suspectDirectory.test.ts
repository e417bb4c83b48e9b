import test from 'ava';
import { createSuspectDirectory, type SuspectReport } from '..';

const createReport = (block: string, fields: Partial<SuspectReport> = {}): SuspectReport => ({
  service: 's',
  block,
  depth: 1,
  losses: [
    { incarnation: 'e1', startedAgeMs: 300, lostAgeMs: 100, isAnswering: true, companions: [] },
  ],
  ...fields,
});

const QUARANTINED = { quarantine: { level: 1, ageMs: 0 } };

test('suspect directory: a gateway gets what changed since its last call', (t) => {
  const directory = createSuspectDirectory('one');
  const first = directory.share({ suspects: [createReport('a')] }, 1_000);
  t.deepEqual(
    first.suspects.map(({ block }) => block),
    ['a'],
  );
  const second = directory.share({ suspects: [createReport('b')], cursor: first.cursor }, 1_000);
  t.deepEqual(
    second.suspects.map(({ block }) => block),
    ['b'],
  );
  const repeated = directory.share({ suspects: [createReport('b')], cursor: second.cursor }, 1_000);
  t.deepEqual(repeated.suspects, [], 'a report without news is not sent to all gateways again');
  const other = createSuspectDirectory('two').share({ suspects: [], cursor: second.cursor }, 1_000);
  t.deepEqual(other, { suspects: [], cursor: { directory: 'two', revision: 0 } });
});

test('suspect directory: the ages of a record grow with its time in the directory', (t) => {
  const directory = createSuspectDirectory();
  directory.share({ suspects: [createReport('a', QUARANTINED)] }, 1_000);
  const [record] = directory.share({ suspects: [] }, 1_500).suspects;
  t.is(record?.losses[0]?.lostAgeMs, 600);
  t.is(record?.quarantine?.ageMs, 500);
});

const claims = [
  { name: 'before the hold has passed', now: 2_900, level: 1, isGranted: false },
  { name: 'after the hold has passed', now: 3_000, level: 1, isGranted: true },
  { name: 'of an earlier level', now: 3_000, level: 0, isGranted: false },
  { name: 'of an unknown block', now: 3_000, level: 1, block: 'other', isGranted: false },
] as const;

for (const { name, now, level, isGranted, ...rest } of claims) {
  test(`suspect directory: a claim of a probe ${name}`, (t) => {
    const directory = createSuspectDirectory();
    directory.share({ suspects: [createReport('a', QUARANTINED)] }, 0);
    const block = 'block' in rest ? rest.block : 'a';
    t.is(directory.claimProbe({ service: 's', block, level }, now).isGranted, isGranted);
  });
}

test('suspect directory: of several gateways only one gets a probe', (t) => {
  const directory = createSuspectDirectory();
  directory.share({ suspects: [createReport('a', QUARANTINED)] }, 0);
  const claim = { service: 's', block: 'a', level: 1 };
  const answers = [1, 2, 3].map(() => directory.claimProbe(claim, 4_000));
  t.deepEqual(
    answers.map(({ isGranted }) => isGranted),
    [true, false, false],
  );
  t.is(answers[2]!.suspect?.quarantine?.level, 2);
});

test('suspect directory: the number of records and their time are bounded', (t) => {
  const directory = createSuspectDirectory();
  for (let round = 0; round < 10; round += 1) {
    const suspects = Array.from({ length: 500 }, (_item, index) =>
      createReport(`${round}-${index}`),
    );
    directory.share({ suspects }, 0);
  }
  const blocks: string[] = [];
  let { cursor, suspects } = directory.share({ suspects: [] }, 0);
  while (suspects.length > 0) {
    blocks.push(...suspects.map(({ block }) => block));
    ({ cursor, suspects } = directory.share({ suspects: [], cursor }, 0));
  }
  t.is(blocks.length, 2_000);
  t.is(new Set(blocks).size, 2_000);
  t.deepEqual(directory.share({ suspects: [] }, 60_000).suspects, []);
});

test('suspect directory: an answer is bounded, and quarantined blocks do not wait for others', (t) => {
  const directory = createSuspectDirectory();
  const suspects = Array.from({ length: 500 }, (_item, index) => createReport(`b${index}`));
  directory.share({ suspects }, 0);
  directory.share({ suspects: [createReport('a', QUARANTINED)] }, 0);
  const answer = directory.share({ suspects: [] }, 0);
  t.true(answer.suspects.length <= 20);
  t.true(answer.suspects.some(({ block }) => block === 'a'));
});

const createRequestReport = (
  incarnations: readonly string[],
  fields: Partial<SuspectReport> = {},
): SuspectReport => ({
  ...createReport('f'),
  kind: 'request',
  losses: incarnations.map((incarnation, index) => ({
    incarnation,
    startedAgeMs: 3_000 - 1_000 * index,
    lostAgeMs: 2_500 - 1_000 * index,
    isAnswering: true,
    companions: [],
    requests: ['f'],
  })),
  ...fields,
});

const requestReports = [
  { name: 'lost once', reports: [createRequestReport(['e1'])], isSent: false },
  {
    name: 'lost once at each of two gateways',
    reports: [createRequestReport(['e1']), createRequestReport(['e2'])],
    isSent: true,
  },
  {
    name: 'lost twice, then answered',
    reports: [createRequestReport(['e1', 'e2']), createRequestReport([], { answeredAgeMs: 0 })],
    isSent: true,
  },
  {
    name: 'lost once, then answered',
    reports: [createRequestReport(['e1']), createRequestReport([], { answeredAgeMs: 0 })],
    isSent: false,
  },
  { name: 'quarantined', reports: [createRequestReport(['e1'], QUARANTINED)], isSent: true },
] as const;

for (const { name, reports, isSent } of requestReports) {
  test(`suspect directory: a request that was ${name} is ${isSent ? '' : 'not '}sent to all`, (t) => {
    const directory = createSuspectDirectory();
    reports.forEach((report) => directory.share({ suspects: [report] }, 1_000));
    const { suspects } = directory.share({ suspects: [] }, 1_000);
    t.deepEqual(
      suspects.map(({ kind, block }) => [kind, block]),
      isSent ? [['request', 'f']] : [],
    );
  });
}

test('suspect directory: a request and a block with the same id are not mixed up', (t) => {
  const directory = createSuspectDirectory();
  directory.share({ suspects: [createReport('f', QUARANTINED)] }, 0);
  const level = 1;
  const claim = { service: 's', block: 'f', level } as const;
  t.false(directory.claimProbe({ ...claim, kind: 'request' }, 3_000).isGranted);
  t.true(directory.claimProbe(claim, 3_000).isGranted);
});

test('suspect directory: many lost requests do not push out a quarantined suspect', (t) => {
  const directory = createSuspectDirectory();
  directory.share({ suspects: [createRequestReport(['e1'], QUARANTINED)] }, 0);
  for (let index = 0; index < 2_500; index += 1) {
    directory.share({ suspects: [{ ...createRequestReport(['e1']), block: `f${index}` }] }, 0);
  }
  const { suspects } = directory.share({ suspects: [] }, 0);
  t.deepEqual(
    suspects.map(({ block }) => block),
    ['f'],
  );
});
