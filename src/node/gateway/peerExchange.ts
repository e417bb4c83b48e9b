import { setTimeout as sleep } from 'node:timers/promises';
import { convertToRouterError, createError, type RouterError } from '../errors';
import type { Logger } from '../log';
import type { ExchangeAnswer, ExchangeParams, ExchangeTopicName } from '../routingControl';
import type { RpcClient } from '../rpc';

type Report<N extends ExchangeTopicName> = NonNullable<ExchangeParams[N]>;
type Answer<N extends ExchangeTopicName> = NonNullable<ExchangeAnswer[N]>;

/** What happened to the report of a topic. */
export interface ReportHandlers<N extends ExchangeTopicName> {
  readonly applyAnswer: (answer: Answer<N>) => void;
  /** Called when the report may not have arrived. */
  readonly handleFailure: (error: RouterError) => void;
}

/** One kind of facts that gateways share. */
export interface ExchangeTopic<N extends ExchangeTopicName = ExchangeTopicName> {
  readonly name: N;
  /**
   * Creates this gateway's report for a call to a control host; undefined if the topic has nothing
   * to send or to ask for now.
   */
  readonly createReport: (host: string) => PendingReport<N> | undefined;
}

/** A report with the handlers of its outcome. */
export interface PendingReport<N extends ExchangeTopicName> extends ReportHandlers<N> {
  readonly report: Report<N>;
}

/** Any topic, without its type parameter. */
export type AnyExchangeTopic = {
  readonly [N in ExchangeTopicName]: ExchangeTopic<N>;
}[ExchangeTopicName];

/** Shares facts with the other gateways, through the leading control host. */
export interface PeerExchange {
  /** Whether a first call has ended: this gateway knows what the others know, or cannot learn it. */
  readonly hasEndedCall: () => boolean;
  readonly start: () => void;
  readonly stop: () => void;
}

/** Options of an exchange with the other gateways. */
export interface PeerExchangeOptions {
  readonly gateway: string;
  readonly rpc: Pick<RpcClient, 'call'>;
  readonly log: Logger;
  readonly topics: readonly AnyExchangeTopic[];
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

const createMissingAnswerError = (name: ExchangeTopicName, peer: string): RouterError =>
  createError({
    type: 'unavailable',
    message: `the control host did not answer the report of '${name}'`,
    step: 'gateway.exchange',
    peer,
  });

/** Creates an exchange of all topics. It sends nothing before `start`. */
export const createPeerExchange = (options: PeerExchangeOptions): PeerExchange => {
  const { gateway, rpc, log, topics, countGateways, findControlHost } = options;
  let hasEndedCall = false;
  let isStopped = false;

  const callHost = async (): Promise<void> => {
    const host = findControlHost();
    if (host === undefined) return;
    const pending = topics.flatMap((topic) => {
      const item = topic.createReport(host) as PendingReport<ExchangeTopicName> | undefined;
      return item ? [{ name: topic.name, ...item }] : [];
    });
    if (pending.length === 0) return;
    const reports = Object.fromEntries(pending.map(({ name, report }) => [name, report]));
    const params: ExchangeParams = { gateway, ...reports };
    const answer = await rpc.call<ExchangeAnswer>(host, 'gateway.exchange', params, {
      timeoutMs: EXCHANGE_TIMEOUT_MS,
    });
    hasEndedCall = true;
    answer.ifRight((value) =>
      pending.forEach(({ name, applyAnswer, handleFailure }) => {
        const topicAnswer = value[name];
        if (topicAnswer !== undefined) applyAnswer(topicAnswer);
        else handleFailure(createMissingAnswerError(name, host));
      }),
    );
    answer.ifLeft((error) => {
      pending.forEach(({ handleFailure }) => handleFailure(error));
      const names = pending.map(({ name }) => name);
      log.debug({ peer: host, topics: names, err: error }, 'exchange with other gateways failed');
    });
  };

  const run = async (): Promise<void> => {
    while (!isStopped) {
      await callHost();
      await sleep(computeExchangeInterval(countGateways()));
    }
  };

  return {
    hasEndedCall: () => hasEndedCall,
    start: () => {
      run().catch((cause: unknown) => {
        const error = convertToRouterError(cause, 'gateway.exchange');
        log.error({ err: error }, 'exchange with other gateways stopped after an unexpected error');
      });
    },
    stop: () => {
      isStopped = true;
    },
  };
};
