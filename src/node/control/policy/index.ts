export * from './cellStore';
export * from './policyService';
export * from './rolloutGuard';
