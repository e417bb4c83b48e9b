import test from 'ava';
import fc from 'fast-check';
import { comparePositions, createPlacementQueue, type QueuePosition } from '../placementQueue';

interface Item extends QueuePosition {
  readonly id: number;
}

const LIMIT = 8;

const positionArbitrary: fc.Arbitrary<QueuePosition> = fc.record({
  rank: fc.integer({ min: 0, max: 2 }),
  isAboveShare: fc.boolean(),
  isReturner: fc.boolean(),
  latestOfferAt: fc.integer({ min: 0, max: 3 }),
});

const stepsArbitrary = fc.array(
  fc.oneof(
    fc.record({ type: fc.constant('add' as const), position: positionArbitrary }),
    fc.record({ type: fc.constant('remove' as const), index: fc.nat(LIMIT) }),
  ),
  { maxLength: 60 },
);

const createItem = (position: Partial<QueuePosition>, id: number): Item => ({
  rank: 1,
  isAboveShare: false,
  isReturner: false,
  latestOfferAt: 0,
  ...position,
  id,
});

// Guards against an order that differs from a stable sort, and against a queue without a bound.
test('the queue agrees with a sorted list of bounded length', (t) => {
  fc.assert(
    fc.property(stepsArbitrary, (steps) => {
      const queue = createPlacementQueue<Item>(LIMIT);
      let model: readonly Item[] = [];
      for (const [id, step] of steps.entries()) {
        if (step.type === 'add') {
          const item = createItem(step.position, id);
          const ahead = model.filter((other) => comparePositions(other, item) <= 0);
          t.deepEqual(queue.listAhead(item), ahead);
          t.is(queue.add(item), model.length < LIMIT);
          if (model.length < LIMIT) model = [...model, item].sort(comparePositions);
        } else {
          const item = model[step.index];
          if (item) t.true(queue.remove(item));
          model = model.filter((other) => other !== item);
        }
        t.deepEqual(queue.list(), model);
        t.is(queue.count(), model.length);
      }
    }),
    { seed: 1, numRuns: 100 },
  );
});

const orders: readonly {
  readonly title: string;
  readonly first: Partial<QueuePosition>;
  readonly second: Partial<QueuePosition>;
}[] = [
  {
    title: 'a more urgent rank, even above its share',
    first: { rank: 0, isAboveShare: true, latestOfferAt: 9 },
    second: { rank: 1, isReturner: true },
  },
  {
    title: 'an organisation within its share',
    first: { latestOfferAt: 9 },
    second: { isAboveShare: true, isReturner: true },
  },
  {
    title: 'a returning request',
    first: { isReturner: true, latestOfferAt: 9 },
    second: { latestOfferAt: 1 },
  },
  { title: 'the least slack', first: { latestOfferAt: 1 }, second: { latestOfferAt: 2 } },
];

for (const { title, first, second } of orders) {
  test(`first in the queue: ${title}`, (t) => {
    const queue = createPlacementQueue<Item>(LIMIT);
    queue.add(createItem(second, 2));
    queue.add(createItem(first, 1));
    t.deepEqual(
      queue.list().map(({ id }) => id),
      [1, 2],
    );
  });
}

// Guards against a full queue of the least urgent kind that keeps more urgent requests out.
test('a full queue gives up its last request for one that goes before it', (t) => {
  const queue = createPlacementQueue<Item>(2);
  queue.add(createItem({ rank: 1 }, 1));
  t.is(queue.findDisplaced(createItem({ rank: 0 }, 9)), undefined);
  queue.add(createItem({ rank: 2 }, 2));
  t.is(queue.findDisplaced(createItem({ rank: 0 }, 9))?.id, 2);
  t.is(queue.findDisplaced(createItem({ rank: 2 }, 9)), undefined);
});
