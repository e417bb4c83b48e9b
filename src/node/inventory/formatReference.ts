import { z } from 'zod';
import { KEY_DESCRIPTIONS } from './keyDescriptions';
import { inventorySchema } from './schema';
import { formatSchemaTable, type JsonSchema } from './schemaTable';

const readSchema = (): JsonSchema => z.toJSONSchema(inventorySchema, { io: 'input' }) as JsonSchema;

/** Lists the keys of an inventory that the reference says nothing about. */
export const listUndocumentedKeys = (): readonly string[] => {
  const undocumented: string[] = [];
  formatSchemaTable(readSchema(), (path) => {
    if (KEY_DESCRIPTIONS[path] === undefined) undocumented.push(path);
    return '';
  });
  return undocumented;
};

/** Formats the reference of the inventory and its rules as a page in Markdown. */
export const formatInventoryReference = (): string =>
  [
    '# Inventory and rules',
    '',
    'Generated from the schema by `npm run docs:inventory`; a test checks that it is current.',
    '',
    'An inventory is one file of JSON with comments; an unknown key is an error. Names have 1 to 64 letters,',
    'digits, dots, dashes and underscores, and stand once in their list. `oleanderfront check FILE` gives all',
    'faults at once, and [the example](../playground/inventory.jsonc) has one of each part.',
    '',
    formatSchemaTable(readSchema(), (path) => KEY_DESCRIPTIONS[path] ?? ''),
    '',
  ].join('\n');
