import test from 'ava';
import { checkInventory, findClosestName } from '..';

const VALID = {
  zones: [{ name: 'leon', region: 'bajio' }],
  hosts: [{ name: 'h1', zone: 'leon', address: '10.0.0.1' }],
  models: [{ name: 'small', stableVersion: 'v1', versions: [{ name: 'v1' }, { name: 'v2' }] }],
  services: [{ name: 'bookings' }],
  endpoints: [{ name: 'e1', host: 'h1', load: [{ model: 'small', version: 'v1' }] }],
  organisations: [
    { name: 'a', keyHashes: ['11'], models: [{ name: 'small', versions: ['v1'] }], services: [] },
  ],
  rules: { tasks: [{ name: 'walk-in' }], rollout: { steps: [0.1, 1] } },
};

const CASES: readonly {
  readonly title: string;
  readonly change: Readonly<Record<string, unknown>>;
  readonly path: string;
  readonly message: RegExp;
}[] = [
  {
    title: 'unknown zone',
    change: { hosts: [{ name: 'h1', zone: 'loen' }] },
    path: 'hosts.0.zone',
    message: /unknown zone 'loen'; did you mean 'leon'\?/,
  },
  {
    title: 'unknown stable version',
    change: { models: [{ name: 'small', stableVersion: 'v9', versions: [{ name: 'v1' }] }] },
    path: 'models.0.stableVersion',
    message: /unknown version 'v9'/,
  },
  {
    title: 'duplicate version',
    change: {
      models: [{ name: 'small', stableVersion: 'v1', versions: [{ name: 'v1' }, { name: 'v1' }] }],
    },
    path: 'models.0.versions.1.name',
    message: /version 'v1' is defined more than once/,
  },
  {
    title: 'unknown host',
    change: { endpoints: [{ name: 'e1', host: 'h2' }] },
    path: 'endpoints.0.host',
    message: /unknown host 'h2'/,
  },
  {
    title: 'unknown model in the loads of an endpoint',
    change: { endpoints: [{ name: 'e1', host: 'h1', load: [{ model: 'x', version: 'v1' }] }] },
    path: 'endpoints.0.load.0.model',
    message: /unknown model 'x'/,
  },
  {
    title: 'unknown service of an endpoint',
    change: { endpoints: [{ name: 'e1', host: 'h1', service: 'booking' }] },
    path: 'endpoints.0.service',
    message: /did you mean 'bookings'/,
  },
  {
    title: 'unknown version allowed to an organisation',
    change: { organisations: [{ name: 'a', models: [{ name: 'small', versions: ['v3'] }] }] },
    path: 'organisations.0.models.0.versions.0',
    message: /unknown version 'v3'/,
  },
  {
    title: 'unknown service allowed to an organisation',
    change: { organisations: [{ name: 'a', models: [], services: ['stock'] }] },
    path: 'organisations.0.services.0',
    message: /unknown service 'stock'/,
  },
  {
    title: 'duplicate organisation',
    change: { organisations: [{ name: 'a' }, { name: 'a' }] },
    path: 'organisations.1.name',
    message: /organisation 'a' is defined more than once/,
  },
  {
    title: 'key shared by two organisations',
    change: {
      organisations: [
        { name: 'a', keyHashes: ['1'] },
        { name: 'b', keyHashes: ['1'] },
      ],
    },
    path: 'organisations.1.keyHashes.0',
    message: /already used by organisation 'a'/,
  },
  {
    title: 'decreasing roll-out steps',
    change: { rules: { rollout: { steps: [0.5, 0.1] } } },
    path: 'rules.rollout.steps.1',
    message: /not greater than the step before/,
  },
  {
    title: 'duplicate task',
    change: { rules: { tasks: [{ name: 't' }, { name: 't' }] } },
    path: 'rules.tasks.1.name',
    message: /task 't' is defined more than once/,
  },
];

test('a valid inventory has no faults', (t) => {
  t.deepEqual(checkInventory(VALID), []);
});

for (const { title, change, path, message } of CASES) {
  test(`inventory fault is found: ${title}`, (t) => {
    const faults = checkInventory({ ...VALID, ...change });
    const found = faults.find((fault) => fault.path.join('.') === path);
    t.truthy(found, JSON.stringify(faults));
    t.regex(found!.message, message);
  });
}

for (const value of [
  undefined,
  null,
  7,
  'x',
  [],
  { zones: 3, models: [null, { versions: 'v' }] },
]) {
  test(`a malformed inventory does not make the check throw: ${JSON.stringify(value)}`, (t) => {
    t.notThrows(() => checkInventory(value));
  });
}

test('a name is suggested only if it is close enough', (t) => {
  t.is(findClosestName('zebra', ['small', 'large']), undefined);
  t.is(findClosestName('Smal', ['large', 'small']), 'small');
});
