import { convertToRouterError } from '../errors';
import { computeUsage, type AttemptReport, type LedgerClient, type LedgerCommand } from '../ledger';
import type { Logger } from '../log';
import type { AttemptRequest, TokenCounts } from '../shared';
import type { View } from '../view';

/** Reports the end of each attempt to the ledger, and retries until it is recorded. */
export interface UsageReporter {
  readonly add: (
    request: AttemptRequest,
    outcome: AttemptReport['outcome'],
    counts: TokenCounts | undefined,
  ) => void;
  readonly start: () => void;
  /** Sends the pending reports, with a bounded number of tries. */
  readonly stop: () => Promise<void>;
  readonly countPending: () => number;
}

/** Options of a usage reporter. */
export interface UsageReporterOptions {
  readonly node: string;
  readonly ledger: Pick<LedgerClient, 'propose'>;
  readonly view: View;
  readonly log: Logger;
}

const REPORT_INTERVAL_MS = 500;
const MAX_PENDING_REPORTS = 100_000;
const MAX_STOP_TRIES = 5;

type Report = Extract<LedgerCommand, { readonly type: 'report' }>;

/** Creates a reporter that sends a batch every half second. */
export const createUsageReporter = (options: UsageReporterOptions): UsageReporter => {
  const { node, ledger, view, log } = options;
  let pending: Report[] = [];
  let timer: NodeJS.Timeout | undefined;
  let isStopped = false;
  let sending: Promise<void> = Promise.resolve();

  const add: UsageReporter['add'] = (request, outcome, counts) => {
    const { requestId, attempt, incarnation, organisation, entry, target } = request;
    const isModel = target.kind === 'model';
    const model = isModel ? target.model : '';
    const version = isModel ? target.version : '';
    const prices = view.find('model', model);
    const usage = counts && computeUsage(prices, { model, version, ...counts });
    const report = { attempt, agent: node, incarnation, model, version, outcome, usage };
    pending.push({ type: 'report', organisation, requestId, report, owner: entry, at: Date.now() });
    if (pending.length <= MAX_PENDING_REPORTS) return;
    pending.shift();
    log.error({ requestId }, 'too many pending usage reports; dropped the oldest one');
  };

  const sendReport = async (command: Report): Promise<Report | undefined> => {
    try {
      const result = await ledger.propose(command);
      if (result.type === 'recorded' && result.differs === true) {
        const { requestId, report } = command;
        log.warn({ requestId, report }, 'reported usage differs from the usage in the ledger');
      }
      return undefined;
    } catch (cause) {
      const { message, peer } = convertToRouterError(cause, 'agent.report');
      log.warn(
        { requestId: command.requestId, peer, reason: message },
        'could not report usage to the ledger; retrying',
      );
      return command;
    }
  };

  const sendPending = async (): Promise<void> => {
    const batch = pending;
    pending = [];
    const left = await Promise.all(batch.map(sendReport));
    pending.unshift(...left.filter((item) => item !== undefined));
  };

  const schedule = (): void => {
    if (isStopped) return;
    timer = setTimeout(() => {
      sending = sendPending();
      sending.finally(schedule);
    }, REPORT_INTERVAL_MS);
  };

  return {
    add,
    start: schedule,
    stop: async () => {
      isStopped = true;
      clearTimeout(timer);
      // Reports of a batch in flight are not in the pending list until they fail.
      await sending;
      for (let tries = 0; tries < MAX_STOP_TRIES && pending.length > 0; tries += 1)
        await sendPending();
    },
    countPending: () => pending.length,
  };
};
