import type { ModelInput } from '../decisions';
import type { ChoiceRequest } from './endpointChoice';
import type { Exchange, ExchangeDependencies } from './exchangeTypes';
import type { RoutingSnapshot } from './routingView';

// Counts the milliseconds until a request's answer, or its first token, would be late.
const computeTimeLeftMs = ({ request }: Exchange, now: number): number =>
  request.receivedAt + request.route.targetLatencyMs - now;

/** Says what a request's next run needs an endpoint for. */
export const createChoiceRequest = (
  exchange: Exchange,
  model: string | undefined,
  now: number,
): ChoiceRequest => {
  const { request, tried } = exchange;
  const { route, caller } = request;
  return { route, caller, model, tried, timeLeftMs: computeTimeLeftMs(exchange, now) };
};

// Predicts the milliseconds to a model's first token; infinite when no endpoint takes the request.
const estimateFirstToken = (
  { chooser, readNow }: Pick<ExchangeDependencies, 'chooser' | 'readNow'>,
  exchange: Exchange,
  facts: RoutingSnapshot,
  model: string,
): number => {
  const now = readNow();
  const choice = chooser.choose(facts, createChoiceRequest(exchange, model, now), now);
  return choice.type === 'placed' ? choice.predictedMs : Infinity;
};

/** Says what the choice of a model for a request rests on. */
export const createModelInput = (
  parts: Pick<ExchangeDependencies, 'chooser' | 'readNow'>,
  exchange: Exchange,
  facts: RoutingSnapshot,
): ModelInput => {
  const { route, organisation } = exchange.request;
  return {
    models: route.models,
    timeLeftMs: computeTimeLeftMs(exchange, parts.readNow()),
    rank: organisation?.rank ?? route.rank,
    estimateFirstToken: (model) => estimateFirstToken(parts, exchange, facts, model),
  };
};
