import { judgeCloseDelimitedEnd, type EndVerdict, type ProcessState } from '../decisions';
import type { Exchange } from './exchangeTypes';
import {
  recordConnectionLoss,
  recordEndpointLoss,
  recordFailure,
  recordSurvival,
  type AttemptContext,
} from './attemptRecords';

/** Whether the next attempt of a stream has to confirm where an earlier one ended. */
export const isConfirmingEnd = ({ lastEventId, unconfirmedEndId }: Exchange): boolean =>
  lastEventId !== undefined && unconfirmedEndId === lastEventId;

/**
 * Returns the id of the event after which the next attempt of a stream goes on. To confirm an end,
 * the last event is requested again: otherwise an attempt that breaks off before its first event
 * would look like the confirmation.
 */
export const findResumeId = (exchange: Exchange): string | undefined =>
  isConfirmingEnd(exchange) ? exchange.previousEventId : exchange.lastEventId;

/** The end of a close-delimited response, as its attempt has seen it. */
export interface ObservedEnd {
  /** Whether the endpoint sent an event, or a body that is not a stream. */
  readonly hasContent: boolean;
  /** Whether it was recorded already that the endpoint survived the start of its answer. */
  readonly hasSurvived: boolean;
  /** Whether another attempt may confirm the end of a stream. */
  readonly canConfirm: boolean;
  /** Whether another endpoint may be sent the whole request. */
  readonly canRetry: boolean;
}

type EndHandler = (context: AttemptContext, end: ObservedEnd, process: ProcessState) => void;

// The end of a connection looks the same whether the endpoint has finished or was lost, and its
// address may have another process at once.
const fetchProcessAfterEnd = async (context: AttemptContext): Promise<ProcessState> => {
  const { deps, exchange, endpoint } = context;
  const askedAt = deps.readNow();
  const { state, reason } = await deps.fetchProcessState(endpoint);
  deps.log.info(
    {
      request: exchange.request.caller.requestId,
      endpoint: endpoint.id,
      endpointStartedAt: endpoint.startedAt,
      process: state,
      reason,
      askedMs: Math.round(deps.readNow() - askedAt),
      lastEventId: exchange.lastEventId,
    },
    'close-delimited response ended',
  );
  return state;
};

// Nothing speaks against the endpoint, which may be asked itself whether more events follow.
const recordUnconfirmedEnd: EndHandler = (context, { hasSurvived }, process) => {
  const { deps, exchange, endpoint } = context;
  if (!hasSurvived && process === 'same') recordSurvival(context);
  exchange.unconfirmedEndId = exchange.lastEventId;
  exchange.reason = 'nothing shows that the close-delimited stream is complete';
  deps.metrics.attempts.inc({ service: endpoint.service, result: 'unconfirmed' });
  deps.log.info(
    {
      request: exchange.request.caller.requestId,
      endpoint: endpoint.id,
      lastEventId: exchange.lastEventId,
    },
    'close-delimited stream is resumed to confirm its end',
  );
};

// An endpoint that was just lost and one that is full are alike in that neither says who it is.
const recordDoubtfulEnd: EndHandler = ({ deps, exchange, endpoint }) => {
  exchange.tried.add(endpoint.id);
  exchange.reason = 'the endpoint of a close-delimited response did not say who it is';
  deps.metrics.attempts.inc({ service: endpoint.service, result: 'doubtful' });
  deps.log.info(
    { request: exchange.request.caller.requestId, endpoint: endpoint.id },
    'close-delimited response is requested from another endpoint',
  );
};

const handlers: Readonly<Record<EndVerdict, EndHandler>> = {
  complete: () => {},
  unconfirmed: recordUnconfirmedEnd,
  doubtful: recordDoubtfulEnd,
  empty: (context) =>
    recordFailure(context, 'close-delimited stream ended before its first event', true),
  lost: (context, { hasSurvived }) => {
    const reason = 'the endpoint was lost at the end of a close-delimited response';
    recordFailure(context, reason, true);
    recordEndpointLoss(context);
    if (!hasSurvived) recordConnectionLoss(context, true);
  },
};

/**
 * Checks whether a close-delimited response may end where its connection was closed, and records
 * why if it may not. Undefined if the request ended meanwhile.
 */
export const checkCloseDelimitedEnd = async (
  context: AttemptContext,
  end: ObservedEnd,
): Promise<EndVerdict | undefined> => {
  const { exchange } = context;
  const process = await fetchProcessAfterEnd(context);
  if (exchange.isFinished) return undefined;
  const isRepeated = isConfirmingEnd(exchange);
  const verdict = judgeCloseDelimitedEnd({ ...end, process, isRepeated });
  handlers[verdict](context, end, process);
  return verdict;
};
