import { setTimeout as sleep } from 'node:timers/promises';
import { convertToRouterError } from '../errors';
import type { Logger } from '../log';
import type { ExchangeLoadAnswer, PromptCursor } from '../routingControl';
import type { RpcClient } from '../rpc';
import type { PrefixCacheEstimates } from './prefixCacheEstimates';
import type { EndpointLoads } from './endpointLoads';

/** Tells the other gateways of this one's work and prompts, and learns of theirs, at the leading control host. */
export interface LoadExchange {
  readonly start: () => void;
  readonly stop: () => void;
}

/** Parts of a load exchange. */
export interface LoadExchangeOptions {
  readonly gateway: string;
  readonly rpc: Pick<RpcClient, 'call'>;
  readonly log: Logger;
  readonly loads: EndpointLoads;
  readonly cacheEstimates: PrefixCacheEstimates;
  /** Gives milliseconds on a steady clock. */
  readonly readNow: () => number;
  /** Gateways that share the endpoints, this one included. */
  readonly countGateways: () => number;
  /** Address of the control host that all gateways tell, if one is known. */
  readonly findControlHost: () => string | undefined;
}

/** Reading a long prompt takes some hundred milliseconds, so older loads say little. */
const MIN_INTERVAL_MS = 150;
/** Above this a gateway would place most prompts without knowing of the others' latest. */
const MAX_INTERVAL_MS = 500;
/** Calls a second that the leading host answers for all gateways: a twentieth of its core. */
const CALLS_PER_SECOND = 100;
const EXCHANGE_TIMEOUT_MS = 400;

/** Computes the pause between two calls of a gateway, in milliseconds. */
export const computeExchangeInterval = (gatewayCount: number): number => {
  const rateLimitedMs = (1_000 * gatewayCount) / CALLS_PER_SECOND;
  return Math.min(MAX_INTERVAL_MS, Math.max(MIN_INTERVAL_MS, rateLimitedMs));
};

/** Creates the exchange; nothing is sent before `start`. */
export const createLoadExchange = (options: LoadExchangeOptions): LoadExchange => {
  const {
    gateway,
    rpc,
    log,
    loads,
    cacheEstimates: beliefs,
    countGateways,
    findControlHost: findHost,
    readNow,
  } = options;
  let cursor: PromptCursor | undefined;
  let isStopped = false;

  const callHost = async (): Promise<void> => {
    const host = findHost();
    if (host === undefined) return;
    const reads = beliefs.drainDispatched();
    const params = { gateway, loads: loads.listOwn(readNow()), reads, cursor };
    const answer = await rpc.call<ExchangeLoadAnswer>(host, 'load.exchange', params, {
      timeoutMs: EXCHANGE_TIMEOUT_MS,
    });
    // What the others told before says nothing of now, so that only the own work is left.
    loads.updatePeerLoads(answer.map((value) => value.loads).orDefault([]));
    answer.ifRight((value) => {
      cursor = value.cursor;
      beliefs.applyPeerPrompts(value.reads);
    });
    answer.ifLeft((error) => {
      beliefs.restoreDispatched(reads);
      log.debug({ peer: host, err: error }, 'loads not exchanged');
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
        log.error({ err: error }, 'the exchange of loads ended');
      });
    },
    stop: () => {
      isStopped = true;
    },
  };
};
