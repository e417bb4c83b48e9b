export * from './routerError';
