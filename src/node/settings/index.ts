export * from './schema';
export * from './loadJsonc';
export * from './resolveConfig';
export * from './formatReference';
