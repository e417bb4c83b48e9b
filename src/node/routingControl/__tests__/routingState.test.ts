import test from 'ava';
import type { RoutingConfig } from '../../routing';
import { createRoutingState, type RoutingCommand } from '..';

const createConfig = (version: number): RoutingConfig => ({
  version,
  routes: [],
  services: [],
  organisations: [],
  limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
});

const createPut = (version: number, source = `text ${version}`): RoutingCommand => ({
  type: 'replaceConfig',
  config: createConfig(version),
  source,
});
const createStart = (target: string, after?: number): RoutingCommand => ({
  type: 'startRollout',
  service: 's',
  target,
  durationMs: 1_000,
  ...(after !== undefined && { after }),
});
const createAdvance = (
  target: string,
  from: 'canary' | 'ramp',
  to: 'ramp' | 'rolledBack' | 'completed',
  order?: number,
): RoutingCommand => ({
  type: 'advanceRollout',
  service: 's',
  target,
  from,
  to,
  ...(order !== undefined && { order }),
});

interface Case {
  readonly name: string;
  readonly commands: readonly RoutingCommand[];
  readonly source?: string;
  readonly rollout?: string;
  readonly retired?: readonly string[];
}

const cases: readonly Case[] = [
  {
    name: 'a higher configuration version replaces the current one',
    commands: [createPut(1), createPut(3)],
    source: 'text 3',
  },
  {
    name: 'a lower configuration version changes nothing',
    commands: [createPut(3), createPut(2)],
    source: 'text 3',
  },
  {
    name: 'other content with the same configuration version changes nothing',
    commands: [createPut(3), createPut(3, 'x')],
    source: 'text 3',
  },
  { name: 'a roll-out starts as a canary', commands: [createStart('v2')], rollout: 'v2 canary' },
  {
    name: 'a repeated start does not restart the roll-out',
    commands: [createStart('v2'), createAdvance('v2', 'canary', 'ramp'), createStart('v2')],
    rollout: 'v2 ramp',
  },
  {
    name: 'an advance from another stage is ignored',
    commands: [createStart('v2'), createAdvance('v2', 'ramp', 'completed')],
    rollout: 'v2 canary',
  },
  {
    name: 'a version that is rolled back gets no more traffic',
    commands: [createStart('v2'), createAdvance('v2', 'canary', 'rolledBack')],
    rollout: 'v2 rolledBack',
    retired: ['v2'],
  },
  {
    name: 'a roll-out to another target replaces a running one',
    commands: [createStart('v2'), createStart('v3')],
    rollout: 'v3 canary',
    retired: ['v2'],
  },
  {
    name: 'an order that was accepted after the latest one starts a roll-out',
    commands: [createStart('v2', 0), createStart('v3', 1)],
    rollout: 'v3 canary',
    retired: ['v2'],
  },
  {
    name: 'a repeated order does not restart a roll-out that was rolled back',
    commands: [
      createStart('v2', 0),
      createAdvance('v2', 'canary', 'rolledBack'),
      createStart('v2', 1),
    ],
    rollout: 'v2 rolledBack',
    retired: ['v2'],
  },
  // A host that was frozen commits the copy of an order that the operator sent elsewhere in time.
  {
    name: 'a late copy of an order does not remove a later roll-out',
    commands: [
      createStart('v2', 0),
      createAdvance('v2', 'canary', 'rolledBack', 1),
      createStart('v3', 1),
      createStart('v2', 0),
    ],
    rollout: 'v3 canary',
    retired: ['v2'],
  },
  {
    name: 'a late judgement does not end a later roll-out of the same version',
    commands: [
      createStart('v2', 0),
      createAdvance('v2', 'canary', 'rolledBack', 1),
      createStart('v3', 1),
      createStart('v2', 3),
      createAdvance('v2', 'canary', 'rolledBack', 1),
    ],
    rollout: 'v2 canary',
    retired: ['v3'],
  },
];

for (const { name, commands, source, rollout, retired } of cases) {
  test(`routing state: ${name}`, (t) => {
    const first = createRoutingState();
    commands.forEach((command, index) => first.apply(index + 1, command));
    const restored = createRoutingState();
    restored.restore(JSON.parse(JSON.stringify(first.snapshot())));
    for (const state of [first, restored]) {
      t.is(state.source(), source);
      t.is(state.listRollouts().map((item) => `${item.target} ${item.stage}`)[0], rollout);
      t.deepEqual(
        state.listRetired().map((item) => item.version),
        [...(retired ?? [])],
      );
      t.is(state.revision(), first.revision());
    }
  });
}

const createEvacuation = (
  zone: string,
  action: 'start' | 'end',
  after: number,
): RoutingCommand => ({ type: 'evacuateZone', zone, action, after });

interface EvacuationCase {
  readonly name: string;
  /** Orders as committed; the index of each is its position, counted from 1. */
  readonly orders: readonly RoutingCommand[];
  readonly evacuated: readonly string[];
  readonly changes: number;
  readonly refused?: number;
}

const evacuationCases: readonly EvacuationCase[] = [
  {
    name: 'a start evacuates the zone',
    orders: [createEvacuation('a', 'start', 0)],
    evacuated: ['a'],
    changes: 1,
  },
  {
    name: 'an end lets requests in again',
    orders: [createEvacuation('a', 'start', 0), createEvacuation('a', 'end', 1)],
    evacuated: [],
    changes: 2,
  },
  {
    name: 'zones are evacuated independently',
    orders: [
      createEvacuation('a', 'start', 0),
      createEvacuation('b', 'start', 0),
      createEvacuation('a', 'end', 1),
    ],
    evacuated: ['b'],
    changes: 3,
  },
  // The leader was lost between the commit and the answer, and the operator sends the order again.
  {
    name: 'the same order again is accepted without a change',
    orders: [createEvacuation('a', 'start', 0), createEvacuation('a', 'start', 1)],
    evacuated: ['a'],
    changes: 1,
  },
  {
    name: 'a copy of the same order that was on its way is accepted without a change',
    orders: [createEvacuation('a', 'start', 0), createEvacuation('a', 'start', 0)],
    evacuated: ['a'],
    changes: 1,
  },
  {
    name: 'an end of a zone that is not evacuated is accepted without a change',
    orders: [createEvacuation('a', 'end', 0)],
    evacuated: [],
    changes: 0,
  },
  // A host that was frozen commits the copy of an order that the operator sent elsewhere in time.
  {
    name: 'a late copy of a start does not undo a later end',
    orders: [
      createEvacuation('a', 'start', 0),
      createEvacuation('a', 'end', 1),
      createEvacuation('a', 'start', 0),
    ],
    evacuated: [],
    changes: 2,
    refused: 1,
  },
  {
    name: 'a late copy of an end does not undo a later start',
    orders: [
      createEvacuation('a', 'start', 0),
      createEvacuation('a', 'end', 1),
      createEvacuation('a', 'start', 2),
      createEvacuation('a', 'end', 1),
    ],
    evacuated: ['a'],
    changes: 3,
    refused: 1,
  },
  // The operator had no answer to the opposite order, and gave this one instead.
  {
    name: 'a late copy of a start does not undo an end that changed nothing',
    orders: [createEvacuation('a', 'end', 0), createEvacuation('a', 'start', 0)],
    evacuated: [],
    changes: 0,
    refused: 1,
  },
  {
    name: 'a late copy of an end does not undo a start that changed nothing',
    orders: [
      createEvacuation('a', 'start', 0),
      createEvacuation('a', 'start', 1),
      createEvacuation('a', 'end', 1),
    ],
    evacuated: ['a'],
    changes: 1,
    refused: 1,
  },
  {
    name: 'orders that cross at two hosts do not both take effect unseen',
    orders: [
      createEvacuation('a', 'start', 0),
      createEvacuation('a', 'end', 1),
      createEvacuation('a', 'start', 1),
    ],
    evacuated: [],
    changes: 2,
    refused: 1,
  },
];

for (const { name, orders, evacuated, changes, refused = 0 } of evacuationCases) {
  test(`evacuation orders: ${name}`, (t) => {
    const first = createRoutingState();
    const results = orders.map((order, index) => first.apply(index + 1, order));
    t.is(results.filter(({ type }) => type === 'refused').length, refused);
    const restored = createRoutingState();
    restored.restore(JSON.parse(JSON.stringify(first.snapshot())));
    for (const state of [first, restored]) {
      t.deepEqual(
        state.listEvacuations().flatMap(({ zone, isActive }) => (isActive ? [zone] : [])),
        [...evacuated],
      );
      t.is(state.revision(), changes);
      t.is(state.findEvacuationOrder('a'), first.findEvacuationOrder('a'));
    }
  });
}

// A host that is upgraded starts from a snapshot of the version before.
test('evacuation orders: a snapshot without evacuations is restored', (t) => {
  const older = createRoutingState();
  older.apply(1, createPut(4));
  const snapshot = { ...(older.snapshot() as object), evacuations: undefined };
  const state = createRoutingState();
  state.apply(1, createEvacuation('a', 'start', 0));
  state.restore(JSON.parse(JSON.stringify(snapshot)));
  t.deepEqual(state.listEvacuations(), []);
  t.is(state.source(), 'text 4');
  t.is(state.apply(2, createEvacuation('a', 'start', 0)).type, 'accepted');
});
