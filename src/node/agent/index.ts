export * from './attempt';
export * from './announcements';
export * from './attemptStore';
export * from './agentServer';
export * from './agentServices';
export * from './usageReporter';
