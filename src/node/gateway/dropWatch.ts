import { convertToRouterError } from '../errors';
import { recordConnectionLoss, recordEndpointLoss, type AttemptContext } from './attemptRecords';
import { waitWithTimeout } from './deadline';
import { isConnectionLoss } from './endpointAttempt';

/** How long the connection of a dropped response is kept, in milliseconds. */
const DROP_WATCH_MS = 50;

const readToEnd = async ({ attempt }: AttemptContext): Promise<unknown> => {
  const chunks = attempt.readBody()[Symbol.asyncIterator]();
  try {
    while ((await chunks.next()).done !== true);
    return undefined;
  } catch (cause) {
    return cause;
  }
};

const runDropWatch = async (context: AttemptContext): Promise<void> => {
  const end = await waitWithTimeout(readToEnd(context), DROP_WATCH_MS);
  context.attempt.cancel();
  if (end.type !== 'done' || !isConnectionLoss(end.value)) return;
  recordEndpointLoss(context);
  recordConnectionLoss(context, true);
};

/**
 * Cancels the attempt of a dropped response, after a moment in which its endpoint may be lost. A
 * request that takes endpoints down does so when it begins to run, which is when its response is
 * dropped.
 */
export const startDropWatch = (context: AttemptContext): void => {
  const { deps, exchange, endpoint } = context;
  runDropWatch(context).catch((cause: unknown) => {
    const err = convertToRouterError(cause, 'gateway.drop', endpoint.id);
    deps.log.error(
      { request: exchange.request.caller.requestId, err },
      'watch of a dropped response failed',
    );
  });
};
