export * from './core';
export * from './types';
