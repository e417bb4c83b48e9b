import test from 'ava';
import fc from 'fast-check';
import { createFairQueue, type QueuedItem, type WorkClass } from '..';

const createItem = (
  organisation: string,
  weight: number,
  workClass: WorkClass,
  size = 1,
): QueuedItem<string> => ({
  value: `${organisation}-${workClass}`,
  organisation,
  weight,
  class: workClass,
  size,
  expiresAt: Infinity,
});

const CLASSES: readonly WorkClass[] = ['urgent', 'normal', 'deferrable'];

test('organisations get service shares by weight, regardless of their classes and queue lengths', (t) => {
  fc.assert(
    fc.property(
      fc.array(
        fc.record({
          weight: fc.integer({ min: 1, max: 4 }),
          workClass: fc.constantFrom(...CLASSES),
          flood: fc.integer({ min: 1, max: 5 }),
        }),
        { minLength: 2, maxLength: 5 },
      ),
      (organisations) => {
        const queue = createFairQueue<string>();
        organisations.forEach(({ weight, workClass, flood }, index) => {
          for (let count = 0; count < 1_000 * flood; count += 1) {
            queue.add(createItem(`o${index}`, weight, workClass));
          }
        });
        const total = organisations.reduce((sum, item) => sum + item.weight, 0);
        const served = new Map<string, number>();
        for (let count = 0; count < 900; count += 1) {
          const item = queue.next()!;
          served.set(item.organisation, (served.get(item.organisation) ?? 0) + 1);
        }
        // The class leads shift an organisation by at most 32 items per unit of weight.
        return organisations.every(({ weight }, index) => {
          const share = (900 * weight) / total;
          return Math.abs((served.get(`o${index}`) ?? 0) - share) <= 33 * weight * 2;
        });
      },
    ),
    { seed: 3, numRuns: 60 },
  );
  t.pass();
});

test('an item waits for a bounded number of others, even deferrable work behind urgent floods', (t) => {
  fc.assert(
    fc.property(
      fc.constantFrom(...CLASSES),
      fc.array(fc.constantFrom(...CLASSES), { minLength: 1, maxLength: 4 }),
      (own, floods) => {
        const queue = createFairQueue<string>();
        floods.forEach((workClass, index) => {
          for (let count = 0; count < 500; count += 1) {
            queue.add(createItem(`flood${index}`, 1, workClass));
          }
        });
        for (let count = 0; count < 50; count += 1) queue.next();
        queue.add(createItem('own', 1, own));
        const limit = 40 * floods.length;
        for (let count = 0; count <= limit; count += 1) {
          if (queue.next()?.organisation === 'own') return true;
        }
        return false;
      },
    ),
    { seed: 5, numRuns: 60 },
  );
  t.pass();
});

test('within an organisation urgent work goes first and deferrable work does not starve', (t) => {
  const queue = createFairQueue<string>();
  for (let count = 0; count < 200; count += 1) {
    CLASSES.forEach((workClass) => queue.add(createItem('o', 1, workClass)));
  }
  const first = Array.from({ length: 230 }, () => queue.next()!.class);
  const countOf = (workClass: WorkClass): number =>
    first.filter((item) => item === workClass).length;
  t.true(countOf('urgent') === 200);
  t.true(countOf('deferrable') >= 1);
});

test('a new organisation does not wait behind the backlog of a flood', (t) => {
  const queue = createFairQueue<string>();
  for (let count = 0; count < 1_000; count += 1) queue.add(createItem('flood', 1, 'normal'));
  for (let count = 0; count < 100; count += 1) queue.next();
  queue.add(createItem('new', 1, 'normal'));
  t.true([queue.next(), queue.next()].some((item) => item?.organisation === 'new'));
});

test('expired and removed items leave the queue and the rest keeps its order', (t) => {
  const queue = createFairQueue<string>();
  queue.add({ ...createItem('a', 1, 'normal'), value: 'old', expiresAt: 5 });
  queue.add({ ...createItem('a', 1, 'normal'), value: 'gone' });
  queue.add({ ...createItem('a', 1, 'normal'), value: 'kept' });
  t.deepEqual(
    queue.expire(5).map((item) => item.value),
    ['old'],
  );
  t.deepEqual(
    queue.remove((value) => value === 'gone').map((item) => item.value),
    ['gone'],
  );
  t.is(queue.count(), 1);
  t.is(queue.next()?.value, 'kept');
  t.is(queue.next(), undefined);
});
