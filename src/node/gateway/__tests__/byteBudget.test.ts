import test from 'ava';
import { createByteBudget, hasRoomFor, type ByteDemand } from '../byteBudget';
import { createByteBuffer } from '../byteBuffer';

const rows: readonly (readonly [name: string, demand: ByteDemand, hasRoom: boolean])[] = [
  ['the first body', { bytes: 4, held: 0, heldByAll: 0, limit: 10 }, true],
  ['a body larger than the limit', { bytes: 11, held: 0, heldByAll: 0, limit: 10 }, false],
  ['a body that holds as much as is free', { bytes: 1, held: 5, heldByAll: 5, limit: 10 }, false],
  ['a small body beside a large one', { bytes: 2, held: 0, heldByAll: 5, limit: 10 }, true],
  ['a large body beside a large one', { bytes: 6, held: 0, heldByAll: 5, limit: 10 }, false],
];

for (const [name, demand, hasRoom] of rows) {
  test(`memory for bodies: there is ${hasRoom ? '' : 'no '}room for ${name}`, (t) => {
    t.is(hasRoomFor(demand), hasRoom);
  });
}

test('a hundred bodies without end leave room for small ones', (t) => {
  const budget = createByteBudget(1_000_000);
  const accounts = Array.from({ length: 100 }, () => budget.openAccount());
  const buffers = accounts.map(createByteBuffer);
  const chunk = Buffer.alloc(1_000);
  for (let round = 0; round < 1_000; round += 1) buffers.forEach(({ add }) => add(chunk));
  t.true(budget.countHeld() <= 1_000_000);
  t.true(budget.openAccount().acquire(800, 0));
  accounts.forEach(({ close }) => close());
  t.is(budget.countHeld(), 800);
});

// Each large body left less room than the one before it, so that a small answer failed after about twenty of them.
test('a hundred bodies without end that grow one after another leave room for small ones', (t) => {
  const budget = createByteBudget(1_000_000);
  const chunk = Buffer.alloc(1_000);
  for (let body = 0; body < 100; body += 1) {
    const { add } = createByteBuffer(budget.openAccount());
    while (add(chunk));
  }
  t.true(budget.countHeld() <= 1_000_000);
  t.true(createByteBuffer(budget.openAccount()).add(Buffer.alloc(800)));
});

test('a buffer gives back what it took, and an account that is closed takes no more', (t) => {
  const budget = createByteBudget(100_000);
  const account = budget.openAccount();
  const buffer = createByteBuffer(account);
  const chunks = Array.from({ length: 3_000 }, (_, index) => Buffer.from([index % 256]));
  t.true(chunks.every((chunk) => buffer.add(chunk)));
  t.deepEqual(buffer.read(), Buffer.concat(chunks));
  t.is(budget.countHeld(), 4_096);
  t.false(buffer.add(Buffer.alloc(99_000)));
  t.is(buffer.countBytes(), 3_000);
  buffer.clear();
  t.is(budget.countHeld(), 0);
  account.close();
  t.false(account.acquire(1, 0));
});
