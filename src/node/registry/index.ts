export * from './types';
export * from './registry';
export * from './mergeRecords';
