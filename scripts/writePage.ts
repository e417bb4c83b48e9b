import { writeFileSync } from 'node:fs';
import { format, resolveConfig } from 'prettier';
import { formatInventoryReference } from '../src/node/inventory';
import { formatMetricsReference } from '../src/node/metrics';
import { formatSettingsReference } from '../src/node/settings';

/** The generated pages of `docs`, by command-line argument. */
const PAGES: Readonly<Record<string, { readonly file: string; readonly text: () => string }>> = {
  inventory: { file: 'INVENTORY.md', text: formatInventoryReference },
  metrics: { file: 'METRICS.md', text: formatMetricsReference },
  settings: { file: 'SETTINGS.md', text: formatSettingsReference },
};

const page = PAGES[process.argv[2] ?? ''];
if (!page)
  throw new Error(
    `unknown page '${process.argv[2] ?? ''}'; use one of ${Object.keys(PAGES).join(', ')}`,
  );
const path = new URL(`../docs/${page.file}`, import.meta.url).pathname;
const options = await resolveConfig(path);
writeFileSync(path, await format(page.text(), { ...options, parser: 'markdown' }));
