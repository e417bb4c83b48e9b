import test from 'ava';
import type { AttemptRequest } from '../../shared';
import { createAttempt, type Attempt } from '../attempt';
import { createAttemptQueue } from '../attemptQueue';

const createRequest = (
  organisation: string,
  workClass: AttemptRequest['class'],
  deadlineMs = 60_000,
): AttemptRequest => ({
  requestId: `${organisation}-${workClass}`,
  attempt: 0,
  organisation,
  incarnation: 1,
  entry: { node: 'entry-1', incarnation: 2 },
  endpoint: 'engine-1',
  target: { kind: 'model', model: 'small', version: 'v1' },
  class: workClass,
  weight: 1,
  deadlineMs,
  method: 'POST',
  path: '/',
  headers: {},
  body: '',
});

const createQueued = (organisation: string, workClass: AttemptRequest['class']): Attempt =>
  createAttempt(createRequest(organisation, workClass), 1_000);

test('a burst of one organisation does not delay another organisation', (t) => {
  const queue = createAttemptQueue();
  for (let count = 0; count < 50; count += 1) queue.add(createQueued('flood', 'normal'), 0);
  for (let count = 0; count < 10; count += 1) queue.takeNext(count, 0, 8);
  queue.add(createQueued('small', 'normal'), 10);
  const next = [queue.takeNext(11, 0, 8), queue.takeNext(12, 0, 8)];
  t.true(next.some((attempt) => attempt?.request.organisation === 'small'));
});

interface Case {
  readonly title: string;
  readonly request: AttemptRequest;
  readonly isRefused: boolean;
}

// Forty attempts of one organisation wait, and one is taken every 100 ms.
const CASES: readonly Case[] = [
  {
    title: 'an urgent attempt of another organisation',
    request: createRequest('b', 'urgent'),
    isRefused: false,
  },
  {
    title: 'an urgent attempt of the same organisation',
    request: createRequest('a', 'urgent'),
    isRefused: false,
  },
  {
    title: 'a normal attempt of the same organisation',
    request: createRequest('a', 'normal', 2_000),
    isRefused: true,
  },
  { title: 'a deferrable attempt', request: createRequest('a', 'deferrable'), isRefused: false },
];

for (const { title, request, isRefused } of CASES) {
  test(`early refusal behind a long queue: ${title}`, (t) => {
    const queue = createAttemptQueue();
    for (let count = 0; count < 50; count += 1) queue.add(createQueued('a', 'normal'), 0);
    for (let count = 0; count < 10; count += 1) queue.takeNext(count * 100, 0, 8);
    if (!isRefused) t.notThrows(() => queue.checkWait(request));
    else
      t.like(
        t.throws(() => queue.checkWait(request)),
        { type: 'overloaded', outcome: 'not_run' },
      );
  });
}

test('an attempt leaves the queue when the wait limit of its class is over', (t) => {
  const queue = createAttemptQueue();
  queue.add(createQueued('a', 'urgent'), 0);
  queue.add(createQueued('a', 'deferrable'), 0);
  t.deepEqual(queue.takeExpired(999), []);
  t.deepEqual(
    queue.takeExpired(1_000).map((attempt) => attempt.request.class),
    ['urgent'],
  );
  t.is(queue.count(), 1);
});

test('a quarter of the slots is reserved while urgent attempts arrive', (t) => {
  const queue = createAttemptQueue();
  queue.add(createQueued('a', 'normal'), 0);
  queue.add(createQueued('b', 'normal'), 0);
  queue.add(createQueued('a', 'urgent'), 0);
  t.is(queue.takeNext(1, 7, 8)?.request.class, 'urgent');
  t.is(queue.takeNext(2, 6, 8), undefined);
  t.is(queue.takeNext(3, 5, 8)?.request.class, 'normal');
  t.is(queue.takeNext(20_000, 7, 8)?.request.class, 'normal');
});
