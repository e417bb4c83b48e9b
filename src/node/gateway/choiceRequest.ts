import type { ModelQuestion } from '../decisions';
import type { ChoiceRequest } from './endpointChoice';
import type { Exchange, ExchangeParts } from './exchangeTypes';
import type { RoutingFacts } from './routingView';

// Computes the milliseconds until a request's response, or its first token, exceeds the target latency.
const countTimeLeft = ({ request }: Exchange, now: number): number =>
  request.receivedAt + request.route.targetLatencyMs - now;

/** Creates the inputs for choosing the endpoint of a request's next attempt. */
export const createChoiceRequest = (
  exchange: Exchange,
  model: string | undefined,
  now: number,
): ChoiceRequest => {
  const { request, tried } = exchange;
  const { route, caller } = request;
  return { route, caller, model, tried, timeLeftMs: countTimeLeft(exchange, now) };
};

// Estimates the milliseconds to a model's first token; infinite when no endpoint accepts the request.
const estimateFirstToken = (
  { chooser, readNow }: Pick<ExchangeParts, 'chooser' | 'readNow'>,
  exchange: Exchange,
  facts: RoutingFacts,
  model: string,
): number => {
  const now = readNow();
  const choice = chooser.choose(facts, createChoiceRequest(exchange, model, now), now);
  return choice.type === 'placed' ? choice.predictedMs : Infinity;
};

/** Creates the inputs for choosing the model of a request. */
export const createModelQuestion = (
  parts: Pick<ExchangeParts, 'chooser' | 'readNow'>,
  exchange: Exchange,
  facts: RoutingFacts,
): ModelQuestion => {
  const { route, organisation } = exchange.request;
  return {
    models: route.models,
    timeLeftMs: countTimeLeft(exchange, parts.readNow()),
    rank: organisation?.rank ?? route.rank,
    estimateFirstToken: (model) => estimateFirstToken(parts, exchange, facts, model),
  };
};
