export * from './schema';
