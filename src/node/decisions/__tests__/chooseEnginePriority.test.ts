import test from 'ava';
import { chooseEnginePriority, type EnginePriorityInput } from '..';

const SHORT_MS = 70;
const LONG_MS = 800;

const choose = (fields: Partial<EnginePriorityInput>): number =>
  chooseEnginePriority({
    rank: 1,
    prefillMs: SHORT_MS,
    timeLeftMs: 2_000,
    computeQueueMs: () => 0,
    ...fields,
  });

// Work of these priorities is pending; a request waits for all that has its priority or a more
// urgent one.
const createQueue =
  (pending: Readonly<Record<number, number>>) =>
  (priority: number): number =>
    Object.entries(pending)
      .filter(([known]) => Number(known) <= priority)
      .reduce((sum, [, workMs]) => sum + workMs, 0);

const cases: readonly (Partial<EnginePriorityInput> & {
  readonly name: string;
  readonly expected: number;
})[] = [
  { name: 'on time, the most urgent rank goes in order of arrival', rank: 0, expected: 5 },
  {
    name: 'on time, the least urgent rank goes in order of arrival',
    rank: 2,
    prefillMs: LONG_MS,
    expected: 5,
  },
  {
    name: 'a short prompt of rank 1 that would be late rises as far as it has to',
    computeQueueMs: createQueue({ 5: 1_500, 4: 900 }),
    expected: 4,
  },
  {
    name: 'a short prompt of rank 1 rises at most to 2',
    computeQueueMs: createQueue({ 1: 1_000, 3: 900 }),
    expected: 2,
  },
  {
    name: 'a long prompt of rank 1 rises at most to 3',
    prefillMs: LONG_MS,
    computeQueueMs: createQueue({ 3: 300, 4: 3_000 }),
    expected: 3,
  },
  {
    name: 'a short prompt of rank 0 rises at most to 0',
    rank: 0,
    computeQueueMs: createQueue({ 1: 2_000 }),
    expected: 0,
  },
  {
    name: 'a short prompt of rank 2 rises before requests that arrived earlier',
    rank: 2,
    computeQueueMs: createQueue({ 5: 2_000 }),
    expected: 4,
  },
  {
    name: 'a short prompt of rank 2 does not rise before rank 1',
    rank: 2,
    computeQueueMs: createQueue({ 3: 2_000 }),
    expected: 5,
  },
  {
    name: 'a higher rank is treated as rank 2',
    rank: 7,
    computeQueueMs: createQueue({ 5: 2_000 }),
    expected: 4,
  },
  {
    name: 'a prompt that would be late anyway does not rise',
    prefillMs: LONG_MS,
    computeQueueMs: createQueue({ 0: 3_000 }),
    expected: 5,
  },
  {
    name: 'a prompt that has missed its target goes behind those that can meet it',
    rank: 0,
    timeLeftMs: -10,
    expected: 7,
  },
  { name: 'a late prompt of rank 2 goes last', rank: 2, timeLeftMs: -10, expected: 9 },
  {
    name: 'a prompt whose prefill takes longer than the time left is late',
    rank: 0,
    prefillMs: LONG_MS,
    timeLeftMs: 700,
    expected: 7,
  },
  {
    name: 'a late resumed stream keeps its earlier priority',
    rank: 0,
    timeLeftMs: -10,
    earlierPriority: 2,
    expected: 2,
  },
  {
    name: 'a second run may be more urgent than the first',
    rank: 0,
    earlierPriority: 5,
    computeQueueMs: createQueue({ 1: 2_000 }),
    expected: 0,
  },
];

for (const { name, expected, ...fields } of cases) {
  test(`engine priority: ${name}`, (t) => {
    t.is(choose(fields), expected);
  });
}

// Guards against a rank that overtakes a more urgent one while the engine has too much work.
test('engine priority: with the same queue, no rank goes before a more urgent one', (t) => {
  for (const prefillMs of [SHORT_MS, LONG_MS]) {
    for (const pendingMs of [0, 500, 1_000, 1_500, 2_500]) {
      for (const pendingPriority of [0, 1, 2, 3, 4, 5]) {
        const computeQueueMs = createQueue({ [pendingPriority]: pendingMs });
        const priorities = [0, 1, 2].map((rank) => choose({ rank, prefillMs, computeQueueMs }));
        t.deepEqual(priorities, [...priorities].sort());
      }
    }
  }
});

// Guards against an order of size that exists only between ranks.
test('engine priority: of one rank, a short prompt that would be late goes before a long one', (t) => {
  for (const rank of [0, 1]) {
    const computeQueueMs = createQueue({ [2 * rank + 1]: 1_100 });
    t.true(
      choose({ rank, timeLeftMs: 1_300, computeQueueMs }) <
        choose({ rank, timeLeftMs: 1_300, prefillMs: LONG_MS, computeQueueMs }),
    );
  }
});

// Engines refuse a priority outside 0 to 9.
test('engine priority: every priority is a whole number from 0 to 9', (t) => {
  for (const rank of [-1, 0, 0.5, 1, 2, 100]) {
    for (const prefillMs of [0, 50, 150, 5_000]) {
      for (const queueMs of [0, 1_000, Infinity]) {
        const priority = choose({ rank, prefillMs, computeQueueMs: () => queueMs });
        t.true(Number.isInteger(priority) && priority >= 0 && priority <= 9);
      }
    }
  }
});
