export * from './metrics';
export * from './definitions';
export * from './internalServer';
