export * from './cli';
export * from './cliIo';
export * from './exitCodes';
