export * from './types';
export * from './settings';
export * from './gatewayServices';
export * from './prefixCacheEstimates';
export * from './endpointChoice';
export * from './endpointLoads';
export { computeExchangeInterval } from './loadExchange';
export * from './sessionVersions';
export type { RoutingSnapshot as RoutingFacts } from './routingView';
