import test from 'ava';
import {
  CHECKS,
  checkHistory,
  IN_FORCE_MS,
  isLinearisable,
  type CallRecord,
  type ConfigSample,
  type History,
  type OperatorRecord,
  type RunRecord,
} from './history';

const CALL: CallRecord = {
  operation: 'op-1',
  requestId: 'req-1',
  organisation: 'rack',
  kind: 'plain',
  isIdempotent: true,
  session: 'session-1',
  entry: 'entry-address',
  startedAt: 100,
  endedAt: 200,
  result: { type: 'answered', body: 'whole' },
};

const RUN: RunRecord = {
  operation: 'op-1',
  requestId: 'req-1',
  endpoint: 'engine-1',
  target: 'small@v1',
  startedAt: 110,
  isDone: true,
  sent: 'whole',
  inputTokens: 3,
  outputTokens: 4,
};

const USAGE = { model: 'small', version: 'v1', inputTokens: 3, outputTokens: 4, cost: 1 };
const BILL = {
  requestId: 'req-1',
  organisation: 'rack',
  usage: [USAGE],
  cost: 1,
  at: 200,
  final: true,
};
const SAMPLE: ConfigSample = { entry: 'entry-address', mark: 1, startedAt: 300, endedAt: 310 };

const createWrite = (
  startedAt: number,
  base: number,
  mark: number,
  answer: 'accepted' | 'conflict' | 'unknown' = 'accepted',
): OperatorRecord => ({
  startedAt,
  endedAt: answer === 'unknown' ? undefined : startedAt + 10,
  action: { type: 'write', base, mark, answer },
});

const createRead = (startedAt: number, revision: number, mark: number): OperatorRecord => ({
  startedAt,
  endedAt: startedAt + 10,
  action: { type: 'read', revision, mark },
});

const VALID_HISTORY: History = {
  calls: [CALL],
  runs: [RUN],
  bills: [BILL],
  withdrawals: [{ name: 'small@v1', acceptedAt: 105 }],
  leavings: [{ name: 'engine-1', acceptedAt: 105 }],
  faults: [{ kind: 'plannedStop', node: 'entry-1', startedAt: 150, endedAt: 160 }],
  samples: [SAMPLE],
  operators: [createRead(0, 1, 0), createWrite(20, 1, 1), createRead(40, 2, 1)],
  places: new Map([['entry-1', 'entry-address']]),
};

const NOT_RUN = { type: 'failed', errorType: 'unavailable', outcome: 'not_run' } as const;

const VIOLATIONS: Readonly<Record<keyof typeof CHECKS, Partial<History>>> = {
  'runs only on allowed versions': { runs: [{ ...RUN, target: 'large@v1' }] },
  'a withdrawn version gets no new work': {
    runs: [{ ...RUN, startedAt: 106 + IN_FORCE_MS }],
    leavings: [],
  },
  'a session keeps its version': { runs: [RUN, { ...RUN, target: 'small@v2' }] },
  'each request that ran is billed once': { bills: [BILL, BILL] },
  'the bill matches the usage': { runs: [{ ...RUN, outputTokens: 5 }] },
  'a caller receives the complete answer to its request': {
    calls: [{ ...CALL, result: { type: 'answered', body: 'who' } }],
  },
  'a request reported as not_run did not run': { calls: [{ ...CALL, result: NOT_RUN }] },
  'a non-idempotent request runs at most once': {
    calls: [{ ...CALL, isIdempotent: false }],
    runs: [RUN, RUN],
  },
  'a leaving endpoint gets no new work': {
    runs: [{ ...RUN, startedAt: 106 + IN_FORCE_MS }],
    withdrawals: [],
  },
  'a planned stop interrupts no request': {
    calls: [{ ...CALL, result: { type: 'cut', reason: 'closed' } }],
  },
  'an accepted configuration is in force within the time limit': {
    samples: [{ ...SAMPLE, mark: 0, startedAt: 31 + IN_FORCE_MS }],
  },
  'a configuration never reverts': {
    samples: [SAMPLE, { ...SAMPLE, mark: 0, startedAt: 320, endedAt: 330 }],
  },
  'deferred work is not dropped': {
    calls: [{ ...CALL, kind: 'deferred', result: { type: 'cut', reason: 'running' } }],
    faults: [],
  },
  'operators see one order of changes': {
    operators: [createWrite(20, 1, 1), createRead(40, 1, 0)],
  },
};

const listFailedChecks = (history: History): readonly string[] =>
  [...checkHistory(history)].filter(([, found]) => found.length > 0).map(([name]) => name);

test('a history without violations passes every check', (t) => {
  t.deepEqual(listFailedChecks(VALID_HISTORY), []);
});

Object.keys(CHECKS).forEach((name) => {
  test(`only the check '${name}' fails for a history that violates it`, (t) => {
    t.deepEqual(listFailedChecks({ ...VALID_HISTORY, ...VIOLATIONS[name] }), [name]);
  });
});

test('a deferred call that was never accepted does not count as dropped', (t) => {
  const result = { type: 'cut', reason: 'connection refused' } as const;
  const refused = { ...CALL, operation: 'op-2', requestId: '', kind: 'deferred', result } as const;
  t.deepEqual(listFailedChecks({ ...VALID_HISTORY, calls: [CALL, refused], faults: [] }), []);
});

const OTHER_VIOLATIONS: Readonly<Record<string, readonly [keyof typeof CHECKS, Partial<History>]>> =
  {
    'a run without a bill': ['each request that ran is billed once', { bills: [] }],
    'a bill without a run': [
      'each request that ran is billed once',
      { bills: [BILL, { ...BILL, requestId: 'req-2' }] },
    ],
    'the answer of another request': [
      'a caller receives the complete answer to its request',
      {
        runs: [RUN, { ...RUN, operation: 'op-2', sent: 'other' }],
        calls: [CALL, { ...CALL, operation: 'op-2' }],
      },
    ],
  };

Object.entries(OTHER_VIOLATIONS).forEach(([title, [name, change]]) => {
  test(`the check '${name}' detects ${title}`, (t) => {
    t.true(listFailedChecks({ ...VALID_HISTORY, ...change }).includes(name));
  });
});

const FIRST = { revision: 1, mark: 0 } as const;

const OPERATOR_HISTORIES: Readonly<Record<string, readonly [boolean, readonly OperatorRecord[]]>> =
  {
    'two concurrent writes, one successful': [
      true,
      [createWrite(0, 1, 1), createWrite(5, 1, 2, 'conflict')],
    ],
    'two concurrent writes with the same base, both successful': [
      false,
      [createWrite(0, 1, 1), createWrite(5, 1, 2)],
    ],
    'a write without an answer that is read later': [
      true,
      [createWrite(0, 1, 1, 'unknown'), createRead(50, 2, 1)],
    ],
    'a write without an answer that is never read': [
      true,
      [createWrite(0, 1, 1, 'unknown'), createRead(50, 1, 0)],
    ],
    'a write without an answer that is read and then disappears': [
      false,
      [createWrite(0, 1, 1, 'unknown'), createRead(50, 2, 1), createRead(70, 1, 0)],
    ],
    'a read of an older revision': [false, [createWrite(0, 1, 1), createRead(50, 1, 0)]],
    'a conflict without a successful write': [false, [createWrite(0, 1, 1, 'conflict')]],
  };

Object.entries(OPERATOR_HISTORIES).forEach(([title, [isExpected, records]]) => {
  test(`linearisability: ${title}`, (t) => {
    t.is(isLinearisable(records, FIRST), isExpected);
  });
});
