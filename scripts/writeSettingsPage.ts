import { writeFileSync } from 'node:fs';
import { format, resolveConfig } from 'prettier';
import { formatSettingsReference } from '../src/node/settings';

const page = new URL('../docs/SETTINGS.md', import.meta.url).pathname;
const options = await resolveConfig(page);
writeFileSync(page, await format(formatSettingsReference(), { ...options, parser: 'markdown' }));
