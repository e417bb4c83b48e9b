export * from './metrics';
export * from './definitions';
