import { z } from 'zod';
import { KEY_DESCRIPTIONS } from './keyDescriptions';
import { inventorySchema } from './schema';
import { formatSchemaTable, type JsonSchema } from './schemaTable';

const readSchema = (): JsonSchema => z.toJSONSchema(inventorySchema, { io: 'input' }) as JsonSchema;

/** Lists the inventory keys that have no description. */
export const listUndocumentedKeys = (): readonly string[] => {
  const undocumented: string[] = [];
  formatSchemaTable(readSchema(), (path) => {
    if (KEY_DESCRIPTIONS[path] === undefined) undocumented.push(path);
    return '';
  });
  return undocumented;
};

/** Formats the reference page of the inventory and its rules in Markdown. */
export const formatInventoryReference = (): string =>
  [
    '# Inventory and rules',
    '',
    'Generated from the schema by `npm run docs:inventory`. A test checks that it is up to date.',
    '',
    'An inventory is one JSON file with comments. Unknown keys are errors. Names consist of 1 to 64 letters,',
    'digits, dots, dashes and underscores, and are unique within their list. `oleanderfront check FILE` reports all',
    'faults at once. [The example](../playground/inventory.jsonc) has one item of each kind.',
    '',
    formatSchemaTable(readSchema(), (path) => KEY_DESCRIPTIONS[path] ?? ''),
    '',
  ].join('\n');
