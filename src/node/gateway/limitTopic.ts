import type { Logger } from '../log';
import type { LimitCursor } from '../routingControl';
import type { EndpointLimits } from './endpointLimits';
import { isRefusedReport, type ExchangeTopic } from './peerExchange';

/** Options of the topic of request limits. */
export interface LimitTopicOptions {
  readonly limits: EndpointLimits;
  readonly log: Logger;
  /** Returns the monotonic time in milliseconds. */
  readonly readNow: () => number;
}

/** Creates the topic that shares request limits, and the requests that they allow. */
export const createLimitTopic = (options: LimitTopicOptions): ExchangeTopic<'limits'> => {
  const { limits, log, readNow } = options;
  let cursor: LimitCursor | undefined;
  return {
    name: 'limits',
    createReport: (host) => ({
      report: { limits: limits.listReports(readNow()), cursor },
      applyAnswer: (answer) => {
        const { table } = answer.cursor;
        if (table !== cursor?.table) {
          log.info({ peer: host, table }, 'table of request limits changed');
          limits.resendAll();
        }
        cursor = answer.cursor;
        limits.applyShared(answer.limits, readNow());
      },
      handleFailure: (error) => {
        if (!isRefusedReport(error)) limits.resendAll();
      },
    }),
  };
};
