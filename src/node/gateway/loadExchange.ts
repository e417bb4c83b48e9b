import { setTimeout as sleep } from 'node:timers/promises';
import { convertToRouterError } from '../errors';
import type { Logger } from '../log';
import type { ExchangeLoadAnswer, PromptCursor } from '../routingControl';
import type { RpcClient } from '../rpc';
import type { PrefixCacheEstimates } from './prefixCacheEstimates';
import type { EndpointLoads } from './endpointLoads';

/** Exchanges loads and sent prompts with the other gateways, through the leading control host. */
export interface LoadExchange {
  readonly start: () => void;
  readonly stop: () => void;
}

/** Options of a load exchange. */
export interface LoadExchangeOptions {
  readonly gateway: string;
  readonly rpc: Pick<RpcClient, 'call'>;
  readonly log: Logger;
  readonly loads: EndpointLoads;
  readonly cacheEstimates: PrefixCacheEstimates;
  /** Returns the monotonic time in milliseconds. */
  readonly readNow: () => number;
  /** Returns the number of gateways that share the endpoints, including this one. */
  readonly countGateways: () => number;
  /** Returns the address of the control host that all gateways report to, if known. */
  readonly findControlHost: () => string | undefined;
}

/** The prefill of a long prompt takes a few hundred milliseconds, so older loads say little. */
const MIN_INTERVAL_MS = 150;
/**
 * With a longer interval, a gateway would place most prompts without the other gateways' latest
 * reports.
 */
const MAX_INTERVAL_MS = 500;
/**
 * Calls per second that the leading control host answers for all gateways; they take 1/20 of its
 * core.
 */
const CALLS_PER_SECOND = 100;
const EXCHANGE_TIMEOUT_MS = 400;

/** Computes the pause between two calls from one gateway, in milliseconds. */
export const computeExchangeInterval = (gatewayCount: number): number => {
  const rateLimitedMs = (1_000 * gatewayCount) / CALLS_PER_SECOND;
  return Math.min(MAX_INTERVAL_MS, Math.max(MIN_INTERVAL_MS, rateLimitedMs));
};

/** Creates a load exchange. It sends nothing before `start`. */
export const createLoadExchange = (options: LoadExchangeOptions): LoadExchange => {
  const { gateway, rpc, log, loads, cacheEstimates, countGateways, findControlHost, readNow } =
    options;
  let cursor: PromptCursor | undefined;
  let isStopped = false;

  const callHost = async (): Promise<void> => {
    const host = findControlHost();
    if (host === undefined) return;
    const reads = cacheEstimates.drainDispatched();
    const params = { gateway, loads: loads.listOwn(readNow()), reads, cursor };
    const answer = await rpc.call<ExchangeLoadAnswer>(host, 'load.exchange', params, {
      timeoutMs: EXCHANGE_TIMEOUT_MS,
    });
    // After a failed call the earlier reports are out of date, so only this gateway's own load
    // counts.
    loads.updatePeerLoads(answer.map((value) => value.loads).orDefault([]));
    answer.ifRight((value) => {
      cursor = value.cursor;
      cacheEstimates.applyPeerPrompts(value.reads);
    });
    answer.ifLeft((error) => {
      cacheEstimates.restoreDispatched(reads);
      log.debug({ peer: host, err: error }, 'load exchange failed; the prompts will be sent again');
    });
  };

  const run = async (): Promise<void> => {
    while (!isStopped) {
      await callHost();
      await sleep(computeExchangeInterval(countGateways()));
    }
  };

  return {
    start: () => {
      run().catch((cause: unknown) => {
        const error = convertToRouterError(cause, 'gateway.load');
        log.error({ err: error }, 'load exchange stopped after an unexpected error');
      });
    },
    stop: () => {
      isStopped = true;
    },
  };
};
