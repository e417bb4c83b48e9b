export * from './metrics';
export * from './definitions';
export * from './internalServer';
export * from './metricsServer';
