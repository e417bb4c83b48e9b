export * from './schema';
export * from './loadJsonc';
