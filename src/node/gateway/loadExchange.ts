import { setTimeout as sleep } from 'node:timers/promises';
import { convertToRouterError } from '../errors';
import type { Logger } from '../log';
import type { ExchangeLoadAnswer } from '../routingControl';
import type { RpcClient } from '../rpc';
import type { EndpointLoads } from './endpointLoads';

/** Tells the other gateways of this one's work, and learns of theirs, at the leading control host. */
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
  /** Address of the control host that all gateways tell, if one is known. */
  readonly findHost: () => string | undefined;
}

/** Reading a long prompt takes some hundred milliseconds, so older loads say little. */
const EXCHANGE_INTERVAL_MS = 150;
const EXCHANGE_TIMEOUT_MS = 400;

/** Creates the exchange; nothing is sent before `start`. */
export const createLoadExchange = (options: LoadExchangeOptions): LoadExchange => {
  const { gateway, rpc, log, loads, findHost } = options;
  let isStopped = false;

  const callHost = async (): Promise<void> => {
    const host = findHost();
    if (host === undefined) return;
    const params = { gateway, loads: loads.listOwn() };
    const answer = await rpc.call<ExchangeLoadAnswer>(host, 'load.exchange', params, {
      timeoutMs: EXCHANGE_TIMEOUT_MS,
    });
    // What the others told before says nothing of now, so that only the own work is left.
    loads.updateOthers(answer.map((value) => value.loads).orDefault([]));
  };

  const run = async (): Promise<void> => {
    while (!isStopped) {
      await callHost();
      await sleep(EXCHANGE_INTERVAL_MS);
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
