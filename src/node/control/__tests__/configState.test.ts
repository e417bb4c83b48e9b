import test from 'ava';
import { inventorySchema, type Inventory } from '../../inventory';
import { createViewStore } from '../../view';
import { createConfigState, type ConfigCommand, type ConfigState } from '..';

const createInventory = (weight = 1): Inventory =>
  inventorySchema.parse({
    zones: [{ name: 'z1', region: 'r1' }],
    models: [
      {
        name: 'small',
        stableVersion: 'v1',
        versions: [{ name: 'v1' }],
        inputCostPerThousand: 1,
        outputCostPerThousand: 1,
      },
    ],
    endpoints: [{ name: 'e1', host: 'h1' }],
    organisations: [{ name: 'o1', keyHashes: [], models: [{ name: 'small' }], weight }],
  });

const createPut = (base: number, changeId: string, weight?: number): ConfigCommand => ({
  type: 'putInventory',
  base,
  changeId,
  inventory: createInventory(weight),
});

const createRegistration = (node: string, bootId: string, address = 'a:1'): ConfigCommand => ({
  type: 'register',
  node,
  role: 'agent',
  zone: 'z1',
  host: 'h1',
  address,
  bootId,
});

const createAnnouncement = (
  node: string,
  incarnation: number,
  endpoint: string,
): ConfigCommand => ({
  type: 'announce',
  node,
  incarnation,
  announcement: {
    endpoint,
    host: 'h1',
    serves: [{ model: 'small', version: 'v1' }],
    slots: 1,
    checksFencing: false,
    state: 'live',
  },
});

const createWithdrawal = (changeId: string, base: number): ConfigCommand => ({
  type: 'withdraw',
  base,
  changeId,
  withdrawal: { model: 'small', version: 'v1', reason: 'bad' },
});

const applyAll = (state: ConfigState, commands: readonly ConfigCommand[], start = 1) =>
  commands.map((command, offset) => state.apply(start + offset, command));

const ACCEPTED = { type: 'accepted', revision: 1, inventoryRevision: 1 } as const;

const CASES = [
  {
    title:
      'of two changes with the same base, the first wins and the second gets a conflict that names it',
    commands: [createPut(0, 'a'), createPut(0, 'b', 2)],
    answers: [ACCEPTED, { type: 'conflict', winner: 'a', inventoryRevision: 1 }],
  },
  {
    title: 'a repeated change gets its first result, also after later changes',
    commands: [createPut(0, 'a'), createPut(1, 'b', 2), createPut(0, 'a')],
    answers: [ACCEPTED, { type: 'accepted', revision: 2, inventoryRevision: 2 }, ACCEPTED],
  },
  {
    title: 'a repeated change that lost gets the same conflict again',
    commands: [createPut(0, 'a'), createPut(0, 'b', 2), createPut(0, 'b', 2)],
    answers: [
      ACCEPTED,
      { type: 'conflict', winner: 'a', inventoryRevision: 1 },
      { type: 'conflict', winner: 'a', inventoryRevision: 1 },
    ],
  },
  {
    title: 'a change id that was used for another change is refused',
    commands: [createPut(0, 'a'), createPut(0, 'a', 2)],
    answers: [ACCEPTED, { type: 'reused', changeId: 'a' }],
  },
  {
    title: 'a newer process of the same name replaces the older one, which becomes stale',
    commands: [
      createRegistration('n', 'x'),
      createRegistration('n', 'y', 'a:2'),
      createAnnouncement('n', 1, 'e1'),
    ],
    answers: [
      { type: 'registered', incarnation: 1, mayOverlap: false },
      { type: 'registered', incarnation: 2, mayOverlap: true },
      { type: 'stale', incarnation: 2 },
    ],
  },
  {
    title: 'a repeated registration keeps its incarnation',
    commands: [createRegistration('n', 'x'), createRegistration('n', 'x')],
    answers: [
      { type: 'registered', incarnation: 1, mayOverlap: false },
      { type: 'registered', incarnation: 1, mayOverlap: false },
    ],
  },
  {
    title: 'a repeated registration must still wait for the older process',
    commands: [
      createRegistration('n', 'x'),
      createRegistration('n', 'y', 'a:2'),
      createRegistration('n', 'y', 'a:2'),
    ],
    answers: [
      { type: 'registered', incarnation: 1, mayOverlap: false },
      { type: 'registered', incarnation: 2, mayOverlap: true },
      { type: 'registered', incarnation: 2, mayOverlap: true },
    ],
  },
  {
    title: 'an endpoint that moved belongs to the node that registered last',
    commands: [
      createRegistration('n1', 'x'),
      createRegistration('n2', 'y'),
      createAnnouncement('n2', 2, 'e1'),
      createAnnouncement('n1', 1, 'e1'),
    ],
    answers: [
      { type: 'registered', incarnation: 1, mayOverlap: false },
      { type: 'registered', incarnation: 2, mayOverlap: false },
      { type: 'done', revision: 3 },
      { type: 'stale', incarnation: 2 },
    ],
  },
] as const;

for (const { title, commands, answers } of CASES) {
  test(title, (t) => {
    t.deepEqual(applyAll(createConfigState(), commands), [...answers]);
  });
}

test('results of changes are kept in a snapshot', (t) => {
  const first = createConfigState();
  applyAll(first, [createPut(0, 'a')]);
  const second = createConfigState();
  second.restore(JSON.parse(JSON.stringify(first.snapshot())));
  t.deepEqual(second.apply(2, createPut(0, 'a')), ACCEPTED);
  t.deepEqual(JSON.parse(JSON.stringify(second.snapshot())).entries.length, 5);
});

test('a change older than every kept result is refused, not applied again', (t) => {
  const state = createConfigState();
  const answersKept = 20_000;
  t.is(state.apply(1, createWithdrawal('first', 0)).type, 'accepted');
  for (let index = 2; index <= answersKept + 1; index += 1) {
    const isWithdrawal = index % 2 === 1;
    const changeId = `c${index}`;
    const change = isWithdrawal
      ? createWithdrawal(changeId, index)
      : ({ type: 'restore', base: index, changeId, model: 'small', version: 'v1' } as const);
    state.apply(index, change);
  }
  t.deepEqual(state.apply(answersKept + 2, createWithdrawal('first', 0)), {
    type: 'expired',
    oldestBase: 1,
  });
});

test('a node that lags behind gets a delta, or a snapshot if it is too far behind', (t) => {
  const state = createConfigState();
  const scope = { role: 'entry', host: 'h' } as const;
  applyAll(state, [createPut(0, 'a')]);
  const view = createViewStore();
  t.true(view.apply(state.readUpdate(0, scope)));
  state.apply(2, createWithdrawal('w', 1));
  const update = state.readUpdate(1, scope);
  t.is(update.type, 'delta');
  t.deepEqual(
    update.entries.map((entry) => entry.kind),
    ['withdrawal'],
  );
  t.true(view.apply(update));
  t.deepEqual(view.list('withdrawal').length, 1);
  const old = { type: 'delta', revision: 1, entries: [] } as const;
  t.false(view.apply(old));
  const restored = createConfigState();
  restored.restore(state.snapshot());
  t.is(restored.readUpdate(1, scope).type, 'snapshot');
});

test('an agent gets no organisations and only the endpoints of its own host', (t) => {
  const state = createConfigState();
  applyAll(state, [createPut(0, 'a')]);
  const listKinds = (host: string) =>
    state
      .readUpdate(0, { role: 'agent', host })
      .entries.filter((entry) => entry.value !== undefined)
      .map((entry) => entry.kind);
  t.deepEqual(listKinds('h1'), ['model', 'endpoint', 'rules']);
  t.deepEqual(listKinds('h2'), ['model', 'rules']);
});
