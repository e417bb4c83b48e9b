export * from './types';
export * from './settings';
export * from './gatewayServices';
export * from './prefixCacheEstimates';
export * from './endpointChoice';
export * from './endpointLoads';
export { computeExchangeInterval } from './peerExchange';
export * from './sessionVersions';
export type { RoutingSnapshot as RoutingFacts } from './routingView';
