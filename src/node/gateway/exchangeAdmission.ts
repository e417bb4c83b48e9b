import { createChoiceRequest } from './choiceRequest';
import type { EndpointChoice } from './endpointChoice';
import type { Exchange, ExchangeDependencies } from './exchangeTypes';
import type { RoutingSnapshot } from './routingView';
import type { ScarcityRefusal, WaitEnd } from './scarcityTypes';

type PlacedChoice = Extract<EndpointChoice, { readonly type: 'placed' }>;

/** Whether the chosen attempt may start, is refused, or is to be chosen anew after a wait. */
export type ExchangeAdmission =
  | { readonly type: 'run' }
  | ScarcityRefusal
  | { readonly type: 'wait'; readonly end: Promise<WaitEnd> };

/**
 * Admits the first attempt of a request, which may wait for its place. Later attempts of a request
 * that was admitted are not held back.
 */
export const admitExchange = (
  deps: Pick<ExchangeDependencies, 'admission' | 'chooser' | 'readNow'>,
  exchange: Exchange,
  snapshot: RoutingSnapshot,
  model: string | undefined,
  choice: PlacedChoice,
): ExchangeAdmission => {
  // A caller that resumes a stream was admitted with its first request.
  if (exchange.isAdmitted || exchange.request.caller.lastEventId !== undefined)
    return { type: 'run' };
  const { chooser, readNow } = deps;
  const { caller, route, organisation, fingerprint, receivedAt, deadlineAt } = exchange.request;
  let handleEnd: (end: WaitEnd) => void = () => {};
  const end = new Promise<WaitEnd>((resolve) => {
    handleEnd = resolve;
  });
  const estimateWork = () => {
    const now = readNow();
    const next = chooser.choose(snapshot, createChoiceRequest(exchange, model, now), now);
    return next.type === 'placed' ? next : undefined;
  };
  const result = deps.admission.admit(
    {
      requestId: caller.requestId,
      route,
      rank: organisation?.rank ?? route.rank,
      organisation: organisation?.name,
      service: choice.endpoint.service,
      table: snapshot.table,
      fingerprint,
      targetEndsAt: receivedAt + route.targetLatencyMs,
      deadlineAt,
      gatewayCount: snapshot.gatewayCount,
      work: choice,
      estimateWork,
      hasEnded: () => exchange.isFinished,
    },
    handleEnd,
  );
  exchange.isAdmitted = result.type !== 'refused';
  return result.type === 'wait' ? { type: 'wait', end } : result;
};
