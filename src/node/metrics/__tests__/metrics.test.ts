import { readFileSync } from 'node:fs';
import test from 'ava';
import { format, resolveConfig } from 'prettier';
import {
  createMetrics,
  formatMetricsReference,
  METRIC_DEFINITIONS,
  type MetricDefinition,
  type MetricRole,
} from '..';

const PAGE = new URL('../../../../docs/METRICS.md', import.meta.url).pathname;
const PREFIX = 'oleanderfront_';
const GAUGES = [
  'queue',
  'running',
  'configCommitted',
  'ledgerCommitted',
  'leader',
  'nodes',
  'zonesEvacuated',
] as const;

const listDefined = (role: MetricRole): readonly string[] =>
  Object.values<MetricDefinition>(METRIC_DEFINITIONS)
    .filter((definition) => definition.role === role || definition.role === 'all')
    .map(({ name }) => name)
    .sort();

for (const role of ['entry', 'agent', 'control'] as const) {
  test(`${role} serves the metrics of its role and no others`, async (t) => {
    const metrics = createMetrics(role);
    [...GAUGES, 'revision' as const, 'lease' as const].forEach((name) =>
      metrics.registerSource(name, () => 1),
    );
    const text = await metrics.registry.metrics();
    const names = [...text.matchAll(/^# TYPE (\S+)/gm)].map((match) => match[1]!);
    t.deepEqual(names.filter((name) => name.startsWith(PREFIX)).sort(), listDefined(role));
  });
}

test('the source of a gauge is read when the metrics are collected', async (t) => {
  const metrics = createMetrics('agent');
  let value = 1;
  metrics.registerSource('queue', () => value);
  value = 7;
  t.regex(await metrics.registry.metrics(), /^oleanderfront_attempts_queued 7$/m);
});

test('the metrics page lists every metric', (t) => {
  const page = formatMetricsReference();
  const missing = Object.values(METRIC_DEFINITIONS).filter(({ name }) => !page.includes(name));
  t.deepEqual(missing, []);
});

test('the metrics page is current', async (t) => {
  const options = await resolveConfig(PAGE);
  const page = await format(formatMetricsReference(), { ...options, parser: 'markdown' });
  t.is(readFileSync(PAGE, 'utf8'), page, 'run npm run docs:metrics');
});
