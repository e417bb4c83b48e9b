export * from './checks';
export * from './linearisability';
export * from './types';
