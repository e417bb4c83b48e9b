export * from './membership';
export * from './loadRateLimiter';
export * from './nodeTracker';
