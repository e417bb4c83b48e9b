export * from './types';
export * from './incarnation';
export * from './registry';
export * from './mergeRecords';
