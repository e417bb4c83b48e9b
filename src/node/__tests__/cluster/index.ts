export * from './caller';
export * from './cluster';
export * from './inventory';
export * from './relay';
export * from './roleProcess';
export * from './waitFor';
export * from './throttledLink';
