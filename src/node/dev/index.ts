export * from './dev';
export * from './devInventory';
