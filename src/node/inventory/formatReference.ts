import { z } from 'zod';
import { KEY_MEANINGS } from './keyMeanings';
import { inventorySchema } from './schema';
import { formatSchemaTable, type JsonSchema } from './schemaTable';

const readSchema = (): JsonSchema => z.toJSONSchema(inventorySchema, { io: 'input' }) as JsonSchema;

/** Lists the inventory keys that have no description. */
export const listUnexplainedKeys = (): readonly string[] => {
  const unexplained: string[] = [];
  formatSchemaTable(readSchema(), (path) => {
    if (KEY_MEANINGS[path] === undefined) unexplained.push(path);
    return '';
  });
  return unexplained;
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
    formatSchemaTable(readSchema(), (path) => KEY_MEANINGS[path] ?? ''),
    '',
  ].join('\n');
