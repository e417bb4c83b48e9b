import type { Logger } from '../log';
import { decodeSuspect, encodeSuspect, type SuspectCursor } from '../routingControl';
import { isRefusedReport, type ExchangeTopic } from './peerExchange';
import type { RequestQuarantine } from './requestQuarantine';
import type { SuspectTable } from './suspectTable';

/** Options of the topic of suspect blocks. */
export interface SuspectTopicOptions {
  readonly suspects: SuspectTable;
  readonly quarantine: Pick<RequestQuarantine, 'applyPeerSuspects'>;
  readonly log: Logger;
  /** Returns the monotonic time in milliseconds. */
  readonly readNow: () => number;
}

/** Creates the topic that shares suspect blocks with the other gateways. */
export const createSuspectTopic = (options: SuspectTopicOptions): ExchangeTopic<'suspects'> => {
  const { suspects, quarantine, log, readNow } = options;
  let cursor: SuspectCursor | undefined;
  return {
    name: 'suspects',
    createReport: (host) => {
      const records = suspects.drainUnsent();
      const now = readNow();
      return {
        report: { suspects: records.map((record) => encodeSuspect(record, now)), cursor },
        applyAnswer: (answer) => {
          const { directory } = answer.cursor;
          if (directory !== cursor?.directory) {
            log.info({ peer: host, directory }, 'directory of suspect prompt blocks changed');
            suspects.resendAll();
          }
          cursor = answer.cursor;
          const receivedAt = readNow();
          quarantine.applyPeerSuspects(
            answer.suspects.map((report) => decodeSuspect(report, receivedAt)),
          );
        },
        handleFailure: (error) => {
          if (!isRefusedReport(error)) suspects.restoreUnsent(records);
        },
      };
    },
  };
};
