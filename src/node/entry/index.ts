export * from './authorise';
export * from './entryServices';
