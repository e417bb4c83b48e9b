import { readFileSync } from 'node:fs';
import test from 'ava';
import { format, resolveConfig } from 'prettier';
import { formatInventoryReference, listUndocumentedKeys } from '..';

const PAGE = new URL('../../../../docs/INVENTORY.md', import.meta.url).pathname;

test('every inventory key has a description', (t) => {
  t.deepEqual(listUndocumentedKeys(), [], 'add them to keyDescriptions.ts');
});

test('the inventory page is up to date', async (t) => {
  const options = await resolveConfig(PAGE);
  const page = await format(formatInventoryReference(), { ...options, parser: 'markdown' });
  t.is(readFileSync(PAGE, 'utf8'), page, 'run npm run docs:inventory');
});
