import type { Exchange, ExchangeOutcome, ExchangeDependencies } from './exchangeTypes';

/** The ways in which a request ends other than by an endpoint's answer; each request has one end. */
export interface ExchangeCompletion {
  /** Ends a request once, with its log line; false when it had ended before. */
  readonly settle: (exchange: Exchange, end: ExchangeOutcome, status: number) => boolean;
  /** Ends a request with an answer of the gateway's own, or breaks its stream off. */
  readonly refuse: (exchange: Exchange, status: number, retryAfterMs?: number) => void;
  /** Ends a request that no endpoint will answer: as not run only if that is certain. */
  readonly settleWithoutResponse: (exchange: Exchange, retryAfterMs: number) => void;
  /** Ends a request whose time is over. */
  readonly handleTimeout: (exchange: Exchange) => void;
}

/** After failures that did not run, another gateway or moment may do better, in milliseconds. */
export const FAILED_RETRY_MS = 200;

const OUTCOME_BY_STATUS: Readonly<Record<number, ExchangeOutcome>> = {
  503: 'refused',
  504: 'timed_out',
};

/** Creates the ends of requests. */
export const createExchangeCompletion = (
  parts: Pick<ExchangeDependencies, 'codec' | 'metrics' | 'log' | 'readNow'>,
): ExchangeCompletion => {
  const { codec, metrics, log, readNow } = parts;

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

  // Every way out goes through here once, so that nothing is answered or counted twice.
  const settle = (exchange: Exchange, end: ExchangeOutcome, status: number): boolean => {
    if (exchange.isFinished) return false;
    exchange.isFinished = true;
    exchange.currentAttempt?.cancel();
    logEnd(exchange, end, status);
    return true;
  };

  const refuse = (exchange: Exchange, status: number, retryAfterMs?: number): void => {
    const { request, reply } = exchange;
    const end = OUTCOME_BY_STATUS[status] ?? 'failed';
    if (reply.isStarted()) {
      if (settle(exchange, 'broken_off', 0)) reply.abort();
      return;
    }
    if (!settle(exchange, end, status)) return;
    const body = Buffer.from(JSON.stringify({ error: exchange.reason }));
    const headers = codec.encodeRefusal(request.caller.requestId, retryAfterMs);
    reply.send({ status, headers }, body);
  };

  // Only what has certainly not run may be called refused.
  const settleWithoutResponse = (exchange: Exchange, retryAfterMs: number): void => {
    const { unverified: doubtful } = exchange;
    if (doubtful && settle(exchange, 'answered', doubtful.head.status)) {
      exchange.reply.send(doubtful.head, doubtful.body);
      return;
    }
    if (exchange.mayHaveRun) refuse(exchange, 502);
    else refuse(exchange, 503, retryAfterMs);
  };

  const handleTimeout = (exchange: Exchange): void => {
    exchange.reason = `no answer in time${exchange.reason && `, before: ${exchange.reason}`}`;
    refuse(exchange, exchange.mayHaveRun || exchange.currentAttempt ? 504 : 503, FAILED_RETRY_MS);
  };

  return {
    settle,
    refuse,
    settleWithoutResponse,
    handleTimeout,
  };
};
