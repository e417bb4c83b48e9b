export * from './log';
