import { ALLOWED } from '../cluster';
import { isLinearisable } from './linearisability';
import type { CallRecord, History, Removal, RunRecord } from './types';

/** A human-readable description of a violated guarantee. */
export type Violation = string;

/** Time within which an accepted change is in force on every node, in milliseconds. */
export const IN_FORCE_MS = 6_000;

const isUsageEvent = (event: string): boolean => event.includes('"usage":{');

/**
 * Returns the body that a caller receives for a run. The router requests the usage event of a
 * stream and does not forward it.
 */
export const formatCallerBody = (sent: string): string =>
  sent.startsWith('data: ')
    ? sent
        .split('\n\n')
        .filter((event) => !isUsageEvent(event))
        .join('\n\n')
    : sent;

const listRequestRuns = (history: History, requestId: string): readonly RunRecord[] =>
  history.runs.filter((run) => run.requestId === requestId);

const isModelRun = (run: RunRecord): boolean => run.target.includes('@');

const checkAllowed = (history: History): readonly Violation[] => {
  const organisations = new Map(history.calls.map((call) => [call.operation, call.organisation]));
  return history.runs
    .filter(isModelRun)
    .filter((run) => !ALLOWED[organisations.get(run.operation)!].includes(run.target))
    .map((run) => `${run.operation} ran on ${run.target}, which its organisation may not use`);
};

const listLateRuns = (
  history: History,
  removals: readonly Removal[],
  readName: (run: RunRecord) => string,
): readonly Violation[] =>
  removals.flatMap(({ name, acceptedAt }) =>
    history.runs
      .filter((run) => readName(run) === name && run.startedAt > acceptedAt + IN_FORCE_MS)
      .map(
        (run) =>
          `${run.operation} started on ${name} ${run.startedAt - acceptedAt} ms after its removal`,
      ),
  );

const checkSessions = (history: History): readonly Violation[] => {
  const targets = new Map<string, Set<string>>();
  for (const call of history.calls) {
    if (call.session === undefined) continue;
    const name = `${call.organisation}/${call.session}`;
    const known = targets.get(name) ?? new Set();
    const own = history.runs.filter((run) => run.operation === call.operation);
    own.forEach((run) => known.add(run.target));
    targets.set(name, known);
  }
  return [...targets]
    .filter(([, known]) => known.size > 1)
    .map(([name, known]) => `session ${name} ran on ${[...known].join(' and ')}`);
};

const checkBills = (history: History): readonly Violation[] => {
  const counts = new Map<string, number>();
  history.bills.forEach(({ requestId }) => counts.set(requestId, (counts.get(requestId) ?? 0) + 1));
  const billedTwice = [...counts]
    .filter(([, count]) => count > 1)
    .map(([requestId, count]) => `${requestId} is billed ${count} times`);
  const ran = new Set(history.runs.map((run) => run.requestId));
  const unbilled = [...ran]
    .filter((requestId) => !counts.has(requestId))
    .map((requestId) => `${requestId} ran but has no bill`);
  const billedWithoutRun = history.bills
    .filter((bill) => bill.cost > 0 && !ran.has(bill.requestId))
    .map((bill) => `${bill.requestId} is billed but never ran`);
  return [...billedTwice, ...unbilled, ...billedWithoutRun];
};

const countTokens = (
  items: readonly { readonly inputTokens: number; readonly outputTokens: number }[],
): number => items.reduce((sum, item) => sum + item.inputTokens + item.outputTokens, 0);

const checkUsage = (history: History): readonly Violation[] =>
  history.bills.flatMap((bill) => {
    const runs = listRequestRuns(history, bill.requestId);
    const call = history.calls.find((item) => item.requestId === bill.requestId);
    const isExact = runs.length === 1 && runs[0]!.isDone && call?.result.type === 'answered';
    const [billed, used] = [countTokens(bill.usage), countTokens(runs)];
    if (!isExact || billed === used) return [];
    return [`${bill.requestId} is billed ${billed} tokens but used ${used}`];
  });

const checkAnswers = (history: History): readonly Violation[] =>
  history.calls.flatMap((call) => {
    const { result } = call;
    if (result.type !== 'answered') return [];
    const own = history.runs.filter((run) => run.operation === call.operation && run.isDone);
    if (own.some((run) => formatCallerBody(run.sent) === result.body)) return [];
    return [
      `${call.operation} received an answer that matches none of its ${own.length} complete runs`,
    ];
  });

const checkNotRun = (history: History): readonly Violation[] =>
  history.calls.flatMap((call) => {
    const isRefused = call.result.type === 'failed' && call.result.outcome === 'not_run';
    const runs = isRefused ? listRequestRuns(history, call.requestId) : [];
    return runs.map(
      (run) => `${call.operation} was reported as not_run but ran on ${run.endpoint}`,
    );
  });

const checkAtMostOnce = (history: History): readonly Violation[] => {
  const once = new Set(
    history.calls.filter((call) => !call.isIdempotent).map((call) => call.operation),
  );
  return [...once].flatMap((operation) => {
    const count = history.runs.filter((run) => run.operation === operation).length;
    return count > 1 ? [`${operation} is not idempotent and ran ${count} times`] : [];
  });
};

const isOverlapping = (
  a: { readonly startedAt: number; readonly endedAt: number },
  b: { readonly startedAt: number; readonly endedAt: number },
): boolean => a.startedAt <= b.endedAt && b.startedAt <= a.endedAt;

const isUninterrupted = (call: CallRecord): boolean =>
  call.result.type === 'answered' ||
  (call.result.type === 'failed' && call.result.outcome === 'not_run');

const PLANNED_STOP = 'plannedStop';

const checkPlannedStops = (history: History): readonly Violation[] => {
  const stops = history.faults.filter((fault) => fault.kind === PLANNED_STOP);
  const others = history.faults.filter((fault) => fault.kind !== PLANNED_STOP);
  return stops.flatMap((stop) => {
    const place = history.places.get(stop.node);
    return history.calls
      .filter((call) => call.startedAt < stop.startedAt && call.endedAt > stop.startedAt)
      .filter((call) => {
        const runs = listRequestRuns(history, call.requestId);
        return call.entry === place || runs.some((run) => run.endpoint === place);
      })
      .filter(
        (call) => !isUninterrupted(call) && !others.some((fault) => isOverlapping(fault, call)),
      )
      .map((call) => `${call.operation} was interrupted by the planned stop of ${stop.node}`);
  });
};

const checkInForce = (history: History): readonly Violation[] =>
  history.operators.flatMap(({ action, endedAt }) => {
    if (action.type !== 'write' || action.answer !== 'accepted') return [];
    const latest = endedAt! + IN_FORCE_MS;
    return history.samples
      .filter((sample) => sample.startedAt > latest && sample.mark < action.mark)
      .map(
        (sample) =>
          `${sample.entry} showed mark ${sample.mark} after the time limit for mark ${action.mark}`,
      );
  });

const checkNoReversal = (history: History): readonly Violation[] =>
  history.samples.flatMap((sample) =>
    history.samples
      .filter((later) => later.entry === sample.entry && later.startedAt > sample.endedAt)
      .filter((later) => later.mark < sample.mark)
      .map((later) => `${later.entry} reverted from mark ${sample.mark} to mark ${later.mark}`),
  );

const checkDeferred = (history: History): readonly Violation[] =>
  history.calls
    .filter((call) => call.kind === 'deferred' && call.result.type === 'cut')
    // A call that received no 202 response was not accepted and has no request id.
    .filter((call) => call.requestId !== '')
    .map((call) => `${call.operation} was accepted as deferred but never ended`);

const FIRST_STATE = { revision: 1, mark: 0 } as const;

const checkOperators = (history: History): readonly Violation[] =>
  isLinearisable(history.operators, FIRST_STATE)
    ? []
    : [`the ${history.operators.length} reads and writes of operators are not linearisable`];

/** The checks by name, one for each guarantee of the system. */
export const CHECKS: Readonly<Record<string, (history: History) => readonly Violation[]>> = {
  'runs only on allowed versions': checkAllowed,
  'a withdrawn version gets no new work': (history) =>
    listLateRuns(history, history.withdrawals, (run) => run.target),
  'a session keeps its version': checkSessions,
  'each request that ran is billed once': checkBills,
  'the bill matches the usage': checkUsage,
  'a caller receives the complete answer to its request': checkAnswers,
  'a request reported as not_run did not run': checkNotRun,
  'a non-idempotent request runs at most once': checkAtMostOnce,
  'a leaving endpoint gets no new work': (history) =>
    listLateRuns(history, history.leavings, (run) => run.endpoint),
  'a planned stop interrupts no request': checkPlannedStops,
  'an accepted configuration is in force within the time limit': checkInForce,
  'a configuration never reverts': checkNoReversal,
  'deferred work is not dropped': checkDeferred,
  'operators see one order of changes': checkOperators,
};

/** Runs every check and returns the violations that each found. */
export const checkHistory = (history: History): ReadonlyMap<string, readonly Violation[]> =>
  new Map(Object.entries(CHECKS).map(([name, check]) => [name, check(history)]));
