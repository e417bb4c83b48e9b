import { convertToRouterError } from '../errors';
import type { Exchange, ExchangeOutcome, ExchangeDependencies } from './exchangeTypes';

/** Ends requests. Each request ends exactly once. */
export interface ExchangeCompletion {
  /** Ends a request and writes its log line; returns false if the request had already ended. */
  readonly settle: (exchange: Exchange, end: ExchangeOutcome, status: number) => boolean;
  /**
   * Ends a request with an error response from the gateway, or aborts a stream that has already
   * started.
   */
  readonly refuse: (exchange: Exchange, status: number, retryAfterMs?: number) => void;
  /**
   * Ends a request that no endpoint will answer. It is reported as not run only if that is certain.
   */
  readonly settleWithoutResponse: (exchange: Exchange, retryAfterMs: number) => void;
  /** Ends a request whose deadline has passed. */
  readonly handleTimeout: (exchange: Exchange) => void;
}

/**
 * Retry delay after failed attempts that did not run the request, in milliseconds. Another gateway,
 * or this one a little later, may succeed.
 */
export const FAILED_RETRY_MS = 200;

const OUTCOME_BY_STATUS: Readonly<Record<number, ExchangeOutcome>> = {
  503: 'refused',
  504: 'timed_out',
};

/** Creates the functions that end requests. */
export const createExchangeCompletion = (
  deps: Pick<ExchangeDependencies, 'codec' | 'metrics' | 'log' | 'readNow'>,
): ExchangeCompletion => {
  const { codec, metrics, log, readNow } = deps;

  const logEnd = (exchange: Exchange, end: ExchangeOutcome, status: number): void => {
    const { request, attempts, reason, dropped, confidence, firstByteAt, events } = exchange;
    const { caller, route, receivedAt, organisation } = request;
    const elapsedMs = Math.round(readNow() - receivedAt);
    metrics.requests.inc({ route: route.name, end });
    metrics.duration.observe({ route: route.name }, elapsedMs / 1_000);
    log.info(
      {
        request: caller.requestId,
        route: route.name,
        organisation: organisation?.name,
        end,
        status,
        attempts,
        dropped,
        confidence,
        elapsedMs,
        firstByteMs: firstByteAt === undefined ? undefined : Math.round(firstByteAt - receivedAt),
        events,
        reason,
      },
      'request ended',
    );
  };

  // Every request ends through this function, so that none is answered or counted twice.
  const settle = (exchange: Exchange, end: ExchangeOutcome, status: number): boolean => {
    if (exchange.isFinished) return false;
    exchange.isFinished = true;
    exchange.currentAttempt?.cancel();
    logEnd(exchange, end, status);
    return true;
  };

  // A request that has ended must not leave its caller waiting, whatever happens to its response.
  const sendResponse = (exchange: Exchange, send: () => void): void => {
    try {
      send();
    } catch (cause) {
      const err = convertToRouterError(cause, 'gateway.respond');
      const { requestId: request } = exchange.request.caller;
      log.error({ request, err }, 'response could not be sent; closing the connection');
      exchange.reply.abort();
    }
  };

  const refuse = (exchange: Exchange, status: number, retryAfterMs?: number): void => {
    const { request, reply } = exchange;
    const end = OUTCOME_BY_STATUS[status] ?? 'failed';
    if (reply.isStarted()) {
      if (settle(exchange, 'broken_off', 0)) sendResponse(exchange, reply.abort);
      return;
    }
    if (!settle(exchange, end, status)) return;
    const body = Buffer.from(JSON.stringify({ error: exchange.reason }));
    const headers = codec.encodeRefusal(request.caller.requestId, retryAfterMs);
    sendResponse(exchange, () => reply.send({ status, headers }, body));
  };

  // Returns false if there is no such answer, or if the caller has a part of another one already.
  const sendDoubtfulAnswer = (exchange: Exchange): boolean => {
    const { doubtfulAnswer, reply } = exchange;
    if (!doubtfulAnswer || reply.isStarted()) return false;
    const { head, body } = doubtfulAnswer;
    if (settle(exchange, 'answered', head.status))
      sendResponse(exchange, () => reply.send(head, body));
    return true;
  };

  // A request may be reported as refused only if it has certainly not run.
  const settleWithoutResponse = (exchange: Exchange, retryAfterMs: number): void => {
    if (sendDoubtfulAnswer(exchange)) return;
    if (exchange.mayHaveRun) refuse(exchange, 502);
    else refuse(exchange, 503, retryAfterMs);
  };

  const handleTimeout = (exchange: Exchange): void => {
    if (sendDoubtfulAnswer(exchange)) return;
    exchange.reason = `no response before the deadline${exchange.reason && `; last failure: ${exchange.reason}`}`;
    refuse(exchange, exchange.mayHaveRun || exchange.currentAttempt ? 504 : 503, FAILED_RETRY_MS);
  };

  return {
    settle,
    refuse,
    settleWithoutResponse,
    handleTimeout,
  };
};
