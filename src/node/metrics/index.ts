export * from './metrics';
