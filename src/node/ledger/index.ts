export * from './types';
export * from './ledgerState';
export * from './ledgerClient';
export * from './retention';
export { DEFERRED_BYTES_LIMIT, DEFERRED_COUNT_LIMIT } from './deferred';
