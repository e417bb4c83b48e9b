import type { ChoiceRequest } from './endpointChoice';
import type { Exchange, ExchangeParts } from './exchangeTypes';
import type { RoutingFacts } from './routingView';

/** Counts the milliseconds until a request's answer, or its first token, would be late. */
export const countTimeLeft = ({ request }: Exchange, now: number): number =>
  request.receivedAt + request.route.targetLatencyMs - now;

/** Says what a request's next run needs an endpoint for. */
export const createChoiceRequest = (
  exchange: Exchange,
  model: string | undefined,
  now: number,
): ChoiceRequest => {
  const { request, tried } = exchange;
  const { route, caller } = request;
  return { route, caller, model, tried, timeLeftMs: countTimeLeft(exchange, now) };
};

/** Predicts the milliseconds to a model's first token; infinite when no endpoint takes the request. */
export const estimateFirstToken = (
  { chooser, readNow }: Pick<ExchangeParts, 'chooser' | 'readNow'>,
  exchange: Exchange,
  facts: RoutingFacts,
  model: string,
): number => {
  const now = readNow();
  const choice = chooser.choose(facts, createChoiceRequest(exchange, model, now), now);
  return choice.type === 'placed' ? choice.predictedMs : Infinity;
};
