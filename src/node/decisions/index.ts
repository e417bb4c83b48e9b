export * from './admission';
export * from './allowedVersions';
export * from './changeDetector';
export * from './chooseChain';
export * from './closeDelimitedEnd';
export * from './responseForm';
export * from './chooseEndpoint';
export * from './chooseEnginePriority';
export * from './chooseTarget';
export * from './chooseVersion';
export * from './endpointHealth';
export * from './estimates';
export * from './fairQueue';
export * from './grantHolder';
export * from './grants';
export * from './capAllocator';
export * from './learning';
export * from './retryBudget';
export * from './rollout';
export * from './sequentialTest';
export * from './tally';
export * from './serviceRollout';
export * from './placeRequest';
export * from './chooseModel';
export * from './windowBudget';
export * from './chooseServiceVersion';
export * from './admitDuringShutdown';
export * from './placeEngineRequest';
export * from './prefillRates';
export * from './endpointSpeeds';
export {
  addSpeedSample,
  computeRecentSpeed,
  type RecentSpeed,
  type SpeedEstimate,
} from './speedEstimate';
export * from './suspicion';
export * from './endpointBackoff';
export * from './requestTokens';
export * from './coldEndpoints';
export * from './admitUnderScarcity';
export * from './organisationShare';
