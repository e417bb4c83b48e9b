import { setTimeout as sleep } from 'node:timers/promises';
import type { Either } from 'purify-ts';
import { convertToRouterError, createError, type RouterError } from '../errors';
import type { Logger } from '../log';
import type { ExchangeAnswer, ExchangeParams, ExchangeTopicName } from '../routingControl';
import type { RpcClient } from '../rpc';

type Report<N extends ExchangeTopicName> = NonNullable<ExchangeParams[N]>;
type Answer<N extends ExchangeTopicName> = NonNullable<ExchangeAnswer[N]>;

/** What happened to the report of a topic. */
export interface ReportHandlers<N extends ExchangeTopicName> {
  readonly applyAnswer: (answer: Answer<N>) => void;
  /** Called when the report may not have arrived, or was refused. */
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

const createMissingAnswerError = (
  name: ExchangeTopicName,
  peer: string,
  refusal: string | undefined,
): RouterError =>
  createError({
    type: refusal === undefined ? 'unavailable' : 'invalid_request',
    message:
      refusal === undefined
        ? `the control host did not answer the report of '${name}'`
        : `the control host refused the report of '${name}': ${refusal}`,
    step: 'gateway.exchange',
    peer,
  });

/** Whether a control host refused a report; it would refuse the same report again. */
export const isRefusedReport = ({ type }: RouterError): boolean => type === 'invalid_request';

/** Creates an exchange of all topics. It sends nothing before `start`. */
export const createPeerExchange = (options: PeerExchangeOptions): PeerExchange => {
  const { gateway, rpc, log, topics, countGateways, findControlHost } = options;
  let hasEndedCall = false;
  let isStopped = false;
  let isReachable = true;

  // Logs changes only: calls are sent several times a second.
  const logReachable = (host: string, answer: Either<RouterError, unknown>): void => {
    if (isReachable === answer.isRight()) return;
    isReachable = answer.isRight();
    if (isReachable) log.info({ peer: host }, 'exchange with other gateways works again');
    answer.ifLeft((error) =>
      log.info({ peer: host, err: error.message }, 'exchange with other gateways failed'),
    );
  };

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
        try {
          if (topicAnswer === undefined) {
            throw createMissingAnswerError(name, host, value.refused?.[name]);
          }
          applyAnswer(topicAnswer);
        } catch (cause) {
          const error = convertToRouterError(cause, 'gateway.exchange', host);
          const facts = { peer: host, topic: name, err: error.message };
          log.warn(facts, 'exchange of one topic with other gateways failed');
          handleFailure(error);
        }
      }),
    );
    answer.ifLeft((error) => pending.forEach(({ handleFailure }) => handleFailure(error)));
    logReachable(host, answer);
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
