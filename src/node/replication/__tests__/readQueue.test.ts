import test from 'ava';
import type { Core } from '../core';
import { createReadQueue } from '../readQueue';

type ReadId = Parameters<Core['read']>[0];

const createFakeCore = (ids: ReadId[]): Core =>
  ({
    read: (id: ReadId) => {
      ids.push(id);
      return true;
    },
  }) as unknown as Core;

test('an answer to a read of an earlier process is ignored', async (t) => {
  const ids: ReadId[] = [];
  const earlier = createReadQueue(createFakeCore(ids));
  earlier.add();
  earlier.send();
  const later = createReadQueue(createFakeCore(ids));
  const answer = later.add();
  later.send();
  later.handleConfirmed({ id: ids[0]!, index: 1, term: 1 }, 1);
  later.handleConfirmed({ id: ids[1]!, index: 9, term: 1 }, 9);
  t.is((await answer).unsafeCoerce().index, 9);
});
