import type { PromptCursor } from '../routingControl';
import type { PrefixCacheEstimates } from './prefixCacheEstimates';
import type { EndpointLoads } from './endpointLoads';
import { isRefusedReport, type ExchangeTopic } from './peerExchange';

/** Options of the load topic. */
export interface LoadTopicOptions {
  readonly loads: EndpointLoads;
  readonly cacheEstimates: PrefixCacheEstimates;
  /** Returns the monotonic time in milliseconds. */
  readonly readNow: () => number;
  /** Called when the loads of the other gateways have been updated. */
  readonly handleUpdate: () => void;
  /** Called when the loads of the other gateways are not known any more. */
  readonly handleLoss: () => void;
}

/** Creates the topic that shares loads and sent prompts with the other gateways. */
export const createLoadTopic = (options: LoadTopicOptions): ExchangeTopic<'loads'> => {
  const { loads, cacheEstimates, readNow, handleUpdate } = options;
  let cursor: PromptCursor | undefined;
  return {
    name: 'loads',
    createReport: () => {
      const reads = cacheEstimates.drainDispatched();
      return {
        report: { loads: loads.listOwn(readNow()), reads, cursor },
        applyAnswer: (answer) => {
          loads.updatePeerLoads(answer.loads);
          cursor = answer.cursor;
          cacheEstimates.applyPeerPrompts(answer.reads);
          handleUpdate();
        },
        handleFailure: (error) => {
          // After a failed call the earlier reports are out of date, so only this gateway's own
          // load counts.
          loads.updatePeerLoads([]);
          options.handleLoss();
          if (!isRefusedReport(error)) cacheEstimates.restoreDispatched(reads);
        },
      };
    },
  };
};
