export * from './cli';
export * from './exitCodes';
