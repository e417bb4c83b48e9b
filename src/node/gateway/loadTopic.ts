import { PRIORITY_COUNT } from '../decisions';
import type { EndpointLoad, PromptCursor } from '../routingControl';
import type { GatewayMetrics } from './gatewayMetrics';
import type { PrefixCacheEstimates } from './prefixCacheEstimates';
import type { EndpointLoads } from './endpointLoads';
import { isRefusedReport, type ExchangeTopic } from './peerExchange';

// Whole milliseconds without trailing zeros keep a report short.
const formatLoad = ({ readMsByPriority, ...load }: EndpointLoad, takesPriorities: boolean) => {
  if (!takesPriorities || !readMsByPriority) return load;
  const last = readMsByPriority.findLastIndex((value) => value >= 0.5);
  return { ...load, readMsByPriority: readMsByPriority.slice(0, last + 1).map(Math.round) };
};

/** Options of the load topic. */
export interface LoadTopicOptions {
  readonly loads: EndpointLoads;
  readonly cacheEstimates: PrefixCacheEstimates;
  readonly metrics?: Pick<GatewayMetrics, 'pendingPrefill'>;
  /** Returns the monotonic time in milliseconds. */
  readonly readNow: () => number;
  /** Called when the loads of the other gateways have been updated. */
  readonly handleUpdate: () => void;
  /** Called when the loads of the other gateways are not known any more. */
  readonly handleLoss: () => void;
}

const recordPending = (
  loads: readonly EndpointLoad[],
  metrics: LoadTopicOptions['metrics'],
): void => {
  if (!metrics) return;
  for (let priority = 0; priority < PRIORITY_COUNT; priority += 1) {
    const pendingMs = loads.reduce(
      (sum, { readMsByPriority }) => sum + (readMsByPriority?.[priority] ?? 0),
      0,
    );
    metrics.pendingPrefill.set({ priority }, pendingMs / 1_000);
  }
};

/** Creates the topic that shares loads and sent prompts with the other gateways. */
export const createLoadTopic = (options: LoadTopicOptions): ExchangeTopic<'loads'> => {
  const { loads, cacheEstimates, readNow, handleUpdate } = options;
  let cursor: PromptCursor | undefined;
  /** Host that has last said that it takes priorities; older hosts refuse reports with them. */
  let priorityHost: string | undefined;
  return {
    name: 'loads',
    createReport: (host) => {
      const reads = cacheEstimates.drainDispatched();
      const now = readNow();
      const takesPriorities = host === priorityHost;
      const ownLoads = loads.listOwn(now);
      recordPending(ownLoads, options.metrics);
      const own = ownLoads.map((load) => formatLoad(load, takesPriorities));
      return {
        report: { loads: own, reads, cursor },
        applyAnswer: (answer) => {
          loads.updatePeerLoads(answer.loads, now);
          cursor = answer.cursor;
          priorityHost = answer.takesPriorities ? host : undefined;
          cacheEstimates.applyPeerPrompts(answer.reads);
          handleUpdate();
        },
        handleFailure: (error) => {
          // After a failed call the earlier reports are out of date, so only this gateway's own
          // load counts.
          loads.updatePeerLoads([]);
          options.handleLoss();
          // The next report goes without priorities, so a host that refused them takes its prompts.
          if (!isRefusedReport(error) || takesPriorities) cacheEstimates.restoreDispatched(reads);
          if (isRefusedReport(error)) priorityHost = undefined;
        },
      };
    },
  };
};
