import type { ModelInput } from '../decisions';
import { chooseService, type ChoiceRequest } from './endpointChoice';
import type { Exchange, ExchangeDependencies } from './exchangeTypes';
import type { RoutingSnapshot } from './routingView';

// Computes the milliseconds until a request's response, or its first token, exceeds the target
// latency.
const computeTimeLeftMs = ({ request }: Exchange, now: number): number =>
  request.receivedAt + request.route.targetLatencyMs - now;

// The rank of the organisation takes precedence over that of the route.
const readRank = ({ request: { organisation, route } }: Exchange): number =>
  organisation?.rank ?? route.rank;

/** Creates the inputs for choosing the endpoint of a request's next attempt. */
export const createChoiceRequest = (
  exchange: Exchange,
  model: string | undefined,
  now: number,
): ChoiceRequest => {
  const { request, tried, priority: earlierPriority } = exchange;
  const { route, caller } = request;
  const timeLeftMs = computeTimeLeftMs(exchange, now);
  return { route, caller, model, tried, timeLeftMs, rank: readRank(exchange), earlierPriority };
};

// Estimates the milliseconds to a model's first token behind all pending work; infinite when no
// endpoint accepts the request. Work that the request would go before counts too: at 1.5 times the
// load, urgent requests otherwise take the larger models and leave the others late.
const estimateFirstToken = (
  { chooser, readNow }: Pick<ExchangeDependencies, 'chooser' | 'readNow'>,
  exchange: Exchange,
  snapshot: RoutingSnapshot,
  model: string,
): number => {
  const now = readNow();
  const choice = chooser.choose(snapshot, createChoiceRequest(exchange, model, now), now);
  return choice.type === 'placed' ? choice.predictedMs + (choice.displacedMs ?? 0) : Infinity;
};

/** Creates the inputs for choosing the model of a request. */
export const createModelInput = (
  deps: Pick<ExchangeDependencies, 'admission' | 'chooser' | 'readNow'>,
  exchange: Exchange,
  snapshot: RoutingSnapshot,
): ModelInput => {
  const { route, caller } = exchange.request;
  const { table, gatewayCount } = snapshot;
  const rank = readRank(exchange);
  const service = chooseService(route, caller);
  return {
    models: route.models,
    timeLeftMs: computeTimeLeftMs(exchange, deps.readNow()),
    rank,
    hasRoomForLarger: deps.admission.hasRoomForLarger({
      route,
      rank,
      service,
      table,
      gatewayCount,
    }),
    estimateFirstToken: (model) => estimateFirstToken(deps, exchange, snapshot, model),
  };
};
