export * from './schema';
export * from './closestName';
export * from './checkInventory';
export * from './compareInventories';
export * from './mergeRegister';
