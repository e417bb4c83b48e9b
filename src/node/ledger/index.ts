export * from './types';
export * from './ledgerState';
