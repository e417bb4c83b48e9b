export * from './types';
export * from './settings';
export * from './gatewayServices';
export * from './cacheBeliefs';
export * from './endpointChoice';
export * from './endpointLoads';
export { computeExchangeInterval } from './loadExchange';
export * from './sessionVersions';
export type { RoutingFacts } from './routingView';
