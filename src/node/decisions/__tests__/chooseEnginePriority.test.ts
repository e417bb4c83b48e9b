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
  { name: 'a short prompt of rank 0', rank: 0, expected: 0 },
  { name: 'a long prompt of rank 0', rank: 0, prefillMs: LONG_MS, expected: 2 },
  { name: 'a short prompt of rank 1', expected: 3 },
  { name: 'a medium prompt of rank 1', prefillMs: 200, expected: 4 },
  { name: 'a long prompt of the least urgent rank', rank: 2, prefillMs: LONG_MS, expected: 8 },
  { name: 'a rank beyond the known ones', rank: 7, expected: 6 },
  {
    name: 'a short prompt that would be late behind long ones of other ranks rises',
    rank: 2,
    computeQueueMs: createQueue({ 2: 1_500, 5: 900 }),
    expected: 4,
  },
  {
    name: 'a short prompt rises at most to before the long ones of rank 0',
    rank: 2,
    computeQueueMs: createQueue({ 0: 300, 2: 3_000 }),
    expected: 1,
  },
  {
    name: 'a long prompt that would be late rises within its rank only',
    prefillMs: LONG_MS,
    computeQueueMs: createQueue({ 5: 3_000 }),
    expected: 4,
  },
  {
    name: 'a prompt that would be late anyway does not rise',
    prefillMs: LONG_MS,
    computeQueueMs: createQueue({ 0: 3_000 }),
    expected: 5,
  },
  { name: 'a prompt that has missed its target goes last', rank: 0, timeLeftMs: -10, expected: 9 },
  {
    name: 'a prompt whose prefill takes longer than the time left goes last',
    rank: 0,
    prefillMs: LONG_MS,
    timeLeftMs: 700,
    expected: 9,
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
    earlierPriority: 2,
    expected: 0,
  },
];

for (const { name, expected, ...fields } of cases) {
  test(`engine priority: ${name}`, (t) => {
    t.is(choose(fields), expected);
  });
}

// Guards against a rank that overtakes a more urgent one while both are on time.
test('engine priority: without a queue, no rank goes before a more urgent one', (t) => {
  for (const prefillMs of [0, 99, 100, 299, 300, 1_500]) {
    for (const other of [0, 99, 100, 299, 300, 1_500]) {
      t.true(choose({ rank: 0, prefillMs }) < choose({ rank: 1, prefillMs: other }));
      t.true(choose({ rank: 1, prefillMs }) < choose({ rank: 2, prefillMs: other }));
    }
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
