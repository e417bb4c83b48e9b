import test from 'ava';
import type { AttemptRequest } from '../../shared';
import {
  ATTEMPT_RETENTION_MS,
  createAttemptTable,
  CLOSED_NAME_RETENTION_MS,
  CLOSED_NAME_LIMIT,
  type AdmissionState,
  type AttemptTable,
} from '../attemptTable';
import { createEngineBody } from '../engineBody';

const READY: AdmissionState = {
  hasLease: true,
  incarnation: 1,
  isDraining: false,
  isWithdrawn: (_model, version) => version === 'bad',
};
const BUFFER_BYTES = 200_000;

const createRequest = (requestId: string, fields: object = {}): AttemptRequest =>
  ({
    requestId,
    attempt: 0,
    organisation: 'o1',
    endpoint: 'e1',
    class: 'normal',
    weight: 1,
    deadlineMs: 60_000,
    incarnation: 1,
    target: { kind: 'model', model: 'small', version: 'v1' },
    ...fields,
  }) as AttemptRequest;

const createTable = (queueLimit = 10): AttemptTable =>
  createAttemptTable({ queueLimit, bufferBytes: BUFFER_BYTES });

const NAME = { requestId: 'r', attempt: 0 };
const data = Buffer.alloc(60_000).toString('base64');

const runToEnd = (table: AttemptTable, requestId: string): void => {
  const attempt = table.admit(createRequest(requestId), READY, 0);
  table.takeNext(0, 0, 8);
  attempt.start();
  attempt.append({ type: 'data', data });
  attempt.append({ type: 'end', inputTokens: 1, outputTokens: 1 });
};

interface Case {
  readonly name: string;
  readonly prepare: (table: AttemptTable) => void;
  readonly request?: object;
  readonly state?: Partial<AdmissionState>;
  readonly nowMs?: number;
  /** Pattern of the refusal; absent when the attempt is admitted. */
  readonly refusal?: RegExp;
}

const runNothing = (): void => {};

const cases: readonly Case[] = [
  { name: 'a plain attempt', prepare: runNothing },
  {
    name: 'an attempt without a lease',
    prepare: runNothing,
    state: { hasLease: false },
    refusal: /no lease/,
  },
  {
    name: 'an attempt for another incarnation',
    prepare: runNothing,
    request: { incarnation: 2 },
    refusal: /another incarnation/,
  },
  {
    name: 'a withdrawn version',
    prepare: runNothing,
    request: { target: { kind: 'model', model: 'small', version: 'bad' } },
    refusal: /withdrawn/,
  },
  {
    name: 'an attempt while draining',
    prepare: runNothing,
    state: { isDraining: true },
    refusal: /stopping/,
  },
  {
    name: 'an attempt that was refused before it arrived',
    prepare: (table) => table.refuse(NAME, 0),
    refusal: /refused or has ended/,
  },
  {
    name: 'a late copy of a confirmed attempt',
    prepare: (table) => {
      runToEnd(table, 'r');
      table.confirm(NAME, 0);
    },
    refusal: /refused or has ended/,
  },
  {
    name: 'a late copy within the retention period of closed names',
    prepare: (table) => {
      table.refuse(NAME, 0);
      table.expire(CLOSED_NAME_RETENTION_MS);
    },
    refusal: /refused or has ended/,
  },
  {
    name: 'an attempt over the queue limit',
    prepare: (table) => {
      for (let count = 0; count < 10; count += 1) table.admit(createRequest(`q${count}`), READY, 0);
    },
    refusal: /queue is full/,
  },
  {
    name: 'an attempt when the buffer is full of old answers, which are dropped',
    prepare: (table) => {
      for (let count = 0; count < 5; count += 1) runToEnd(table, `a${count}`);
    },
  },
];

cases.forEach(({ name, prepare, request = {}, state = {}, nowMs = 0, refusal }) => {
  test(`${name} is ${refusal ? 'refused with outcome not_run' : 'admitted'}`, (t) => {
    const table = createTable();
    prepare(table);
    const admit = () => table.admit(createRequest('r', request), { ...READY, ...state }, nowMs);
    if (!refusal) {
      t.is(admit().state(), 'queued');
      t.true(table.countBytes() < BUFFER_BYTES);
      return;
    }
    t.like(t.throws(admit), { outcome: 'not_run' });
    t.regex(t.throws(admit).message, refusal);
  });
});

test('tombstones are bounded: at the limit no refusal is confirmed and no attempt admitted', (t) => {
  const table = createTable();
  for (let count = 0; count < CLOSED_NAME_LIMIT; count += 1) {
    table.refuse({ requestId: `s${count}`, attempt: 0 }, 0);
  }
  t.false(table.refuse(NAME, 0));
  t.throws(() => table.admit(createRequest('r'), READY, 0), { message: /too many names/ });
  table.expire(CLOSED_NAME_RETENTION_MS + 1);
  t.is(table.countClosedNames(), 0);
  t.truthy(table.admit(createRequest('r'), READY, CLOSED_NAME_RETENTION_MS + 1));
});

test('an unconfirmed answer is dropped after its retention period', (t) => {
  const table = createTable();
  runToEnd(table, 'r');
  table.expire(ATTEMPT_RETENTION_MS);
  t.truthy(table.find(NAME));
  table.expire(ATTEMPT_RETENTION_MS + 1);
  t.is(table.find(NAME), undefined);
});

test('the engine is not read until the entry confirms received frames', async (t) => {
  const table = createTable();
  const attempt = table.admit(createRequest('r'), READY, 0);
  table.takeNext(0, 0, 8);
  attempt.start();
  let hasRoom = false;
  attempt.append({ type: 'data', data });
  const waiting = attempt.waitForBufferSpace().then(() => {
    hasRoom = true;
  });
  await Promise.resolve();
  t.false(hasRoom);
  attempt.confirm(1);
  await waiting;
  t.is(attempt.countBytes(), 0);
  const lost = attempt.read(0, new AbortController().signal).next();
  t.like(await t.throwsAsync(lost), { outcome: 'ran' });
});

const bodies: readonly (readonly [string, string])[] = [
  [
    '{ "model":"small", "n": 12345678901234567890.10,\n "messages":[] }',
    '{ "model":"m@v", "n": 12345678901234567890.10,\n "messages":[] }',
  ],
  [
    '{"model":"auto","stream":true,"messages":[]}',
    '{"model":"m@v","stream":true,"messages":[],"stream_options": {"include_usage":true}}',
  ],
  [
    '{"stream":true,"stream_options":{"x":1e400},"model":"a"}',
    '{"stream":true,"stream_options":{"x":1e400,"include_usage": true},"model":"m@v"}',
  ],
];

bodies.forEach(([sent, expected]) => {
  test(`the engine receives ${sent} with only the fields of the router replaced`, (t) => {
    t.is(createEngineBody(Buffer.from(sent), 'm@v').body.toString(), expected);
  });
});
