import { writeFileSync } from 'node:fs';
import { format, resolveConfig } from 'prettier';
import { formatMetricsReference } from '../src/node/metrics';

const page = new URL('../docs/METRICS.md', import.meta.url).pathname;
const options = await resolveConfig(page);
writeFileSync(page, await format(formatMetricsReference(), { ...options, parser: 'markdown' }));
