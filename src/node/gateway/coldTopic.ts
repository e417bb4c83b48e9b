import type { Logger } from '../log';
import type { ColdPermits } from './coldPermits';
import type { LeaseClock } from './leaseClock';
import { isRefusedReport, type ExchangeTopic } from './peerExchange';

/** Options of the topic of cold endpoints. */
export interface ColdTopicOptions {
  readonly permits: ColdPermits;
  readonly log: Logger;
  readonly clock: LeaseClock;
  /** Returns the monotonic time in milliseconds. */
  readonly readNow: () => number;
}

/** Creates the topic that asks for permits, and shares which endpoints may have become cold. */
export const createColdTopic = (options: ColdTopicOptions): ExchangeTopic<'cold'> => {
  const { permits, log, clock, readNow } = options;
  let hasLeader = true;

  const logLeader = (host: string, isLeader: boolean): void => {
    if (hasLeader === isLeader) return;
    hasLeader = isLeader;
    log.info({ peer: host, isLeader }, 'grant of permits for cold endpoints started or stopped');
  };

  return {
    name: 'cold',
    createReport: (host) => {
      const report = permits.createReport(readNow());
      // Permits count from here: the host may grant them at any time after the call was sent.
      const calledAt = clock.readClocks();
      if (!report) return undefined;
      return {
        report,
        applyAnswer: (answer) => {
          logLeader(host, answer.leader !== undefined);
          permits.applyAnswer(answer, calledAt, readNow());
        },
        handleFailure: (error) => {
          const elapsedMs = clock.computeElapsedMs(calledAt);
          const doubts = report.doubts.map((doubt) => ({
            ...doubt,
            ageMs: doubt.ageMs + elapsedMs,
          }));
          if (!isRefusedReport(error)) permits.restoreDoubts(doubts, readNow());
        },
      };
    },
  };
};
