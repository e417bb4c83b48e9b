export * from './engine';
export * from './service';
export * from './rating';
