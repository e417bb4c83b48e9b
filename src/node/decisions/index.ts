export * from './changeDetector';
export * from './chooseChain';
export * from './chooseTarget';
export * from './estimates';
export * from './rollout';
export * from './sequentialTest';
export * from './tally';
