export * from './errors';
export * from './kernel';
export * from './inventory';
export * from './settings';
export * from './dev';
