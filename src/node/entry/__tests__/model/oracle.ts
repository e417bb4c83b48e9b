import type { Bill } from '../../../ledger';
import { formatChunk, CHUNKS } from './agents';
import type { History } from './runModel';

/** The checks, named after the guarantee that they verify. Each lists its violations. */
export type CheckName =
  | 'runsPerKey'
  | 'notRunIsTrue'
  | 'ownAnswerWhole'
  | 'oneVersionPerSession'
  | 'billedOnce'
  | 'deferredKept'
  | 'deferredInOrder';

const countBy = (names: readonly string[]): ReadonlyMap<string, number> => {
  const counts = new Map<string, number>();
  names.forEach((name) => counts.set(name, (counts.get(name) ?? 0) + 1));
  return counts;
};

const formatExpected = (body: string): string =>
  Array.from({ length: CHUNKS }, (_value, index) => formatChunk(body, index)).join('');

// Each body and each key belongs to one caller, so runs per key equal runs per body.
const checkRuns = ({ calls, runs }: History): readonly string[] => {
  const onceOnly = new Set(calls.filter((call) => !call.idempotent).map((call) => call.body));
  const counts = countBy(runs.map((run) => run.body).filter((body) => onceOnly.has(body)));
  return [...counts].filter(([, count]) => count > 1).map(([body, n]) => `${body} ran ${n} times`);
};

const checkNotRun = ({ calls, runs }: History): readonly string[] => {
  const ran = new Set(runs.map((run) => run.requestId));
  return calls
    .filter((call) => call.error?.outcome === 'not_run' && ran.has(call.requestId))
    .map((call) => `${call.requestId} was reported as not_run and has run`);
};

const checkAnswers = ({ calls }: History): readonly string[] =>
  calls
    .filter((call) => call.answer !== undefined && call.answer !== formatExpected(call.body))
    .map((call) => `${call.requestId} got '${call.answer}'`);

const checkSessions = ({ runs, calls }: History): readonly string[] => {
  const inSession = new Set(calls.filter((call) => call.session).map((call) => call.body));
  const versions = new Set(runs.filter((run) => inSession.has(run.body)).map((run) => run.version));
  return versions.size > 1 ? [`the session ran on ${[...versions].join(' and ')}`] : [];
};

const countTokens = (bill: Bill | undefined): number =>
  bill?.usage.reduce((sum, line) => sum + line.outputTokens, 0) ?? 0;

// Tokens that only a killed agent counted are not billed: its run is a line without tokens. A run
// whose agent and entry were both killed before its intent was recorded has no bill. Its caller
// got no byte, since the first byte waits for the intent.
const checkBills = ({ runs, ledger, live, intents }: History): readonly string[] => {
  const bills = new Map(ledger.listBills().map((bill) => [bill.requestId, bill]));
  const faults: string[] = [];
  for (const requestId of new Set(runs.map((run) => run.requestId))) {
    const own = runs.filter((run) => run.requestId === requestId);
    const known = own.filter(
      (run) => live.has(run.incarnation) || intents.has(`${requestId}.${run.attempt}`),
    );
    const bill = bills.get(requestId);
    const tokens = own.reduce((sum, run) => sum + run.tokens, 0);
    if (!bill && known.length > 0) faults.push(`${requestId} has run and has no bill`);
    if (bill && bill.usage.length < known.length) faults.push(`${requestId} lacks a line`);
    const isCounted = own.every((run) => live.has(run.incarnation));
    if (isCounted && countTokens(bill) < tokens) faults.push(`${requestId} is billed for less`);
    if (countTokens(bill) > tokens) faults.push(`${requestId} is billed for more than ran`);
  }
  for (const bill of bills.values()) {
    const hasRun = runs.some((run) => run.requestId === bill.requestId);
    if (!hasRun && countTokens(bill) > 0) faults.push(`${bill.requestId} is billed without a run`);
  }
  return faults;
};

const checkKept = ({ deferred, runs, ledger }: History): readonly string[] =>
  deferred.flatMap(({ requestId, idempotent }) => {
    const state = ledger.findRequest('north', requestId)?.state ?? 'lost';
    const count = runs.filter((run) => run.requestId === requestId).length;
    const isKept = state === 'done' || (state === 'unknown' && !idempotent);
    return [
      ...(isKept ? [] : [`${requestId} ended as ${state}`]),
      ...(!idempotent && count > 1 ? [`${requestId} ran ${count} times`] : []),
    ];
  });

const checkOrder = ({ deferred, runs }: History): readonly string[] => {
  const accepted = deferred.map((item) => item.requestId);
  const started = [...new Set(runs.map((run) => run.requestId))].filter((id) =>
    accepted.includes(id),
  );
  const expected = accepted.filter((id) => started.includes(id));
  return expected.join() === started.join() ? [] : [`ran in the order ${started.join()}`];
};

/** All checks by name. */
export const CHECKS: Readonly<Record<CheckName, (history: History) => readonly string[]>> = {
  runsPerKey: checkRuns,
  notRunIsTrue: checkNotRun,
  ownAnswerWhole: checkAnswers,
  oneVersionPerSession: checkSessions,
  billedOnce: checkBills,
  deferredKept: checkKept,
  deferredInOrder: checkOrder,
};
