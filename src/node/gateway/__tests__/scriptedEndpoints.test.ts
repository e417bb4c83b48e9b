import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import fc from 'fast-check';
import { HEADERS } from '../../../../platform/__tests__/wireNames';
import { startGateway, type CallerResult } from './harness';
import {
  createScriptedAnswer,
  endpointScripts,
  formatEvents,
  formatText,
  routeKinds,
  type EndpointRecord,
  type EndpointScript,
} from './scriptedEndpoint';

// Other runs: ENDPOINT_SEED=7 npx ava <this file>.
const RUNS = Number(process.env.ENDPOINT_RUNS ?? 800);
const LANES = 8;
const MIN_TIMEOUT_MS = 120_000;
/** Allowance for each run on a busy machine, in milliseconds. */
const RUN_LIMIT_MS = 500;
const SEED = Number(process.env.ENDPOINT_SEED ?? 20_261_205);
/** Short limits, so that silent endpoints end soon, in milliseconds. */
const LIMITS = { timeoutMs: 500, targetLatencyMs: 60, gapTargetMs: 60 };
const REQUEST_IDS = ['id-1', 'id-2'] as const;
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** One generated run: endpoints in the order in which they are tried. */
interface Run {
  readonly kind: string;
  readonly attemptLimit: number;
  readonly endpoints: readonly EndpointScript[];
}

/** What a caller received, and what the endpoints know of its request. */
interface Outcome {
  readonly run: Run;
  readonly requestId: string;
  readonly result: CallerResult;
  readonly elapsedMs: number;
  readonly records: readonly EndpointRecord[];
}

/** Allowance for the end of a request after its timeout on a busy machine, in milliseconds. */
const END_ALLOWANCE_MS = 10_000;
const UNANSWERED: CallerResult = { status: 0, headers: {}, body: '', isComplete: false };

type Check = (outcome: Outcome) => boolean;

const isStreamRoute = ({ kind }: Run): boolean => routeKinds[kind]!.kind === 'stream';
const canRepeat = ({ kind }: Run): boolean =>
  routeKinds[kind]!.kind === 'idempotent' || routeKinds[kind]!.canResume === true;

const formatWhole = ({ run, requestId }: Outcome): string =>
  isStreamRoute(run) ? formatEvents(requestId, 1) : formatText(requestId);

const isFramedReply = ({ headers }: CallerResult): boolean =>
  headers['content-length'] !== undefined || headers['transfer-encoding'] === 'chunked';

// Nothing in the protocol tells such an end from that of a whole stream.
const hasTwoOpenEnds = ({ records }: Outcome): boolean =>
  records.some((record, index) =>
    records.some(
      (other, at) =>
        at > index &&
        [record, other].every(({ isFramed, isReset }) => !isFramed && !isReset) &&
        record.lastEvent === other.lastEvent,
    ),
  );

const isResumable = ({ run }: Outcome): boolean => isStreamRoute(run) && canRepeat(run);

const isSuccess = ({ result }: Outcome): boolean => result.status === 200 && result.isComplete;

// Where no other attempt can confirm it, the end of a connection ends an answer.
const hasOpenEnd = (outcome: Outcome): boolean =>
  !isResumable(outcome) &&
  outcome.records.some(
    ({ body, isFramed, isReset, state }) =>
      body === outcome.result.body && !isFramed && !isReset && state !== 'lost',
  );

/** Promises of a gateway, as callers and endpoints see them. */
const checks: Readonly<Record<string, Check>> = {
  'a success has a length or chunks': (outcome) =>
    !isSuccess(outcome) || isFramedReply(outcome.result),
  'a success is the whole answer to its request, or ends where a connection ended': (outcome) => {
    if (!isSuccess(outcome)) return true;
    const { result, records } = outcome;
    const isWhole =
      result.body === formatWhole(outcome) || records.some(({ isFalselyWhole }) => isFalselyWhole);
    if (isResumable(outcome)) return isWhole || hasTwoOpenEnds(outcome);
    // Nothing but a framing shows that the body of a lost endpoint is whole.
    const isStated = records.some(({ body, isFramed }) => isFramed && body === result.body);
    return hasOpenEnd(outcome) || (isWhole && isStated);
  },
  'another endpoint is asked if one does not say who it is': (outcome) => {
    const { run, result, records, elapsedMs } = outcome;
    if (!isSuccess(outcome) || isResumable(outcome)) return true;
    const isKnown = records.some(
      ({ body, state, isFramed }) => body === result.body && (isFramed || state !== 'unknown'),
    );
    // An endpoint that is gone does not receive the second request.
    const reachable = run.endpoints.filter(({ process }) => process !== 'is gone');
    const hasAsked = records.length >= Math.min(run.attemptLimit, reachable.length);
    const isLate = elapsedMs >= LIMITS.timeoutMs;
    return !canRepeat(run) || isKnown || hasAsked || isLate;
  },
  'a stream has no gap, no repeated event and no other text': ({ run, requestId, result }) =>
    !isStreamRoute(run) ||
    result.status !== 200 ||
    formatEvents(requestId, 1).startsWith(result.body),
  'a request ends soon after its timeout': ({ elapsedMs }) =>
    elapsedMs < LIMITS.timeoutMs + END_ALLOWANCE_MS,
  'a request that is reported as not run has not run': ({ result, records }) =>
    !NOT_RUN_STATUSES.has(result.status) || records.every(({ hasRun }) => !hasRun),
  'a request that may not be repeated runs once': ({ run, records }) =>
    canRepeat(run) || records.filter(({ hasRun }) => hasRun).length <= 1,
  'a request runs at most as often as its route allows': ({ run, records }) =>
    records.filter(({ hasRun }) => hasRun).length <= run.attemptLimit,
};

const runs: fc.Arbitrary<Run> = fc.record({
  kind: fc.constantFrom(...Object.keys(routeKinds)),
  attemptLimit: fc.integer({ min: 1, max: 3 }),
  endpoints: fc.array(endpointScripts, { minLength: 1, maxLength: 3 }),
});

const runScripts = async (run: Run): Promise<readonly Outcome[]> => {
  const records: EndpointRecord[] = [];
  const answers = run.endpoints.map((script) =>
    createScriptedAnswer(script, isStreamRoute(run), records),
  );
  const route = { ...routeKinds[run.kind], ...LIMITS, attemptLimit: run.attemptLimit };
  const gateway = await startGateway(route, answers);
  try {
    const outcomes: Outcome[] = [];
    for (const requestId of REQUEST_IDS) {
      const headers = { [HEADERS.requestId]: requestId };
      const startedAt = performance.now();
      const call = gateway.call({ method: 'POST', body: '{}', headers });
      const late = sleep(LIMITS.timeoutMs + END_ALLOWANCE_MS, UNANSWERED, { ref: false });
      const result = await Promise.race([call, late]);
      const elapsedMs = performance.now() - startedAt;
      const own = records.filter((record) => record.requestId === requestId);
      outcomes.push({ run, requestId, result, elapsedMs, records: own });
    }
    return outcomes;
  } finally {
    await gateway.stop();
  }
};

const listBrokenChecks = (outcome: Outcome): readonly string[] =>
  Object.entries(checks).flatMap(([name, check]) =>
    check(outcome) ? [] : [`${name}: ${JSON.stringify({ ...outcome, run: undefined })}`],
  );

test('callers are told the truth whatever endpoints do', async (t) => {
  t.timeout(MIN_TIMEOUT_MS + RUNS * RUN_LIMIT_MS);
  let answered = 0;
  const property = fc.asyncProperty(runs, async (run) => {
    const outcomes = await runScripts(run);
    answered += outcomes.filter(({ result }) => result.status === 200).length;
    const broken = outcomes.flatMap(listBrokenChecks);
    if (broken.length > 0) throw new Error(broken.join('\n'));
  });
  // Runs wait most of the time, so several are in progress at once.
  await Promise.all(
    Array.from({ length: LANES }, (_item, lane) =>
      fc.assert(property, {
        seed: SEED + lane,
        numRuns: Math.ceil(RUNS / LANES),
        // Names the broken check; the cause of an error is not printed otherwise.
        includeErrorInReport: true,
      }),
    ),
  );
  t.true(answered > RUNS / LANES);
  t.log(`${RUNS} runs, ${answered} requests answered with 200`);
});

const HEALTHY: EndpointScript = {
  head: 'ok',
  id: 'own',
  framing: 'a length',
  type: 'events',
  claimsWhole: false,
  hasInterimResponse: false,
  sentShare: 1,
  isInPieces: false,
  afterwards: 'nothing',
  end: 'closes',
  process: 'goes on',
  canResume: true,
};
const RUN: Run = { kind: 'once', attemptLimit: 1, endpoints: [] };
const RECORD: EndpointRecord = {
  requestId: 'id-1',
  hasRun: true,
  body: 'the ans',
  isFramed: false,
  isReset: false,
  isFalselyWhole: false,
  state: 'running',
  lastEvent: 0,
};
const RESULT: CallerResult = {
  status: 200,
  headers: { 'transfer-encoding': 'chunked' },
  body: RECORD.body,
  isComplete: true,
};
const WHOLE_OR_OPEN =
  'a success is the whole answer to its request, or ends where a connection ended';

const violations: readonly { readonly check: string; readonly outcome: Partial<Outcome> }[] = [
  { check: 'a success has a length or chunks', outcome: { result: { ...RESULT, headers: {} } } },
  { check: WHOLE_OR_OPEN, outcome: { records: [{ ...RECORD, isFramed: true }] } },
  { check: WHOLE_OR_OPEN, outcome: { records: [{ ...RECORD, isReset: true }] } },
  { check: WHOLE_OR_OPEN, outcome: { records: [{ ...RECORD, state: 'lost' }] } },
  { check: WHOLE_OR_OPEN, outcome: { records: [{ ...RECORD, body: 'the answer' }] } },
  { check: WHOLE_OR_OPEN, outcome: { run: { ...RUN, kind: 'resumable stream' } } },
  {
    check: WHOLE_OR_OPEN,
    outcome: {
      result: { ...RESULT, body: formatText('id-1') },
      records: [{ ...RECORD, body: formatText('id-1'), state: 'lost' }],
    },
  },
  {
    check: 'another endpoint is asked if one does not say who it is',
    outcome: {
      run: { kind: 'idempotent', attemptLimit: 2, endpoints: [HEALTHY, HEALTHY] },
      records: [{ ...RECORD, state: 'unknown' }],
    },
  },
  {
    check: 'a stream has no gap, no repeated event and no other text',
    outcome: {
      run: { ...RUN, kind: 'stream' },
      result: { ...RESULT, isComplete: false, body: formatEvents('id-1', 2) },
    },
  },
  {
    check: 'a request ends soon after its timeout',
    outcome: { elapsedMs: LIMITS.timeoutMs + END_ALLOWANCE_MS },
  },
  {
    check: 'a request that is reported as not run has not run',
    outcome: { result: { ...RESULT, status: 503 } },
  },
  {
    check: 'a request that may not be repeated runs once',
    outcome: { records: [RECORD, RECORD] },
  },
  {
    check: 'a request runs at most as often as its route allows',
    outcome: { run: { ...RUN, kind: 'idempotent' }, records: [RECORD, RECORD] },
  },
];

for (const [index, { check, outcome }] of violations.entries()) {
  test(`a violation is detected: ${check} (row ${index + 1})`, (t) => {
    const sound: Outcome = {
      run: RUN,
      requestId: 'id-1',
      result: RESULT,
      elapsedMs: 0,
      records: [RECORD],
    };
    t.true(checks[check]!(sound));
    t.false(checks[check]!({ ...sound, ...outcome }));
  });
}
