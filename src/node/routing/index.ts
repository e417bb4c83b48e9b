export * from './types';
export * from './checkRoutingConfig';
export * from './routeTable';
export * from './configChanges';
