export * from './schema';
export * from './closestName';
export * from './checkInventory';
export * from './compareInventories';
export * from './mergeCsv';
export * from './schemaTable';
export * from './formatReference';
