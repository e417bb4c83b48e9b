export * from './types';
export * from './settings';
export * from './gatewayServices';
