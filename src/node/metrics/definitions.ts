/** The roles that have metrics of their own; `all` stands in every role. */
export type MetricRole = 'entry' | 'gateway' | 'agent' | 'control' | 'all';

/** One metric: its name carries the unit. */
export interface MetricDefinition {
  readonly name: string;
  readonly type: 'counter' | 'gauge' | 'histogram';
  readonly role: MetricRole;
  readonly unit: string;
  readonly labels: readonly string[];
  readonly help: string;
}

const PREFIX = 'oleanderfront_';

const createDefinition = <L extends string = never>(
  role: MetricRole,
  type: MetricDefinition['type'],
  name: string,
  unit: string,
  help: string,
  labels: readonly L[] = [],
) => ({ name: `${PREFIX}${name}`, type, role, unit, labels, help }) as const;

/** All metrics of the system, by the name that the code uses. */
export const METRIC_DEFINITIONS = {
  requests: createDefinition(
    'entry',
    'counter',
    'requests_total',
    'requests',
    'Requests answered; the model is empty for plain services and refusals.',
    ['organisation', 'model', 'status'],
  ),
  firstPiece: createDefinition(
    'entry',
    'histogram',
    'first_piece_seconds',
    'seconds',
    'Time from the receipt of a request to the first piece of its answer.',
    ['model'],
  ),
  active: createDefinition('entry', 'gauge', 'requests_active', 'requests', 'Requests under way.'),
  refusals: createDefinition(
    'entry',
    'counter',
    'refusals_total',
    'requests',
    'Requests that ended in an error, by its type.',
    ['type'],
  ),
  retries: createDefinition(
    'entry',
    'counter',
    'retries_total',
    'attempts',
    "Attempts after a request's first.",
  ),
  gatewayRequests: createDefinition(
    'gateway',
    'counter',
    'gateway_requests_total',
    'requests',
    'Requests of routes that ended, by route and how; the route is empty where none was found.',
    ['route', 'end'],
  ),
  gatewayAttempts: createDefinition(
    'gateway',
    'counter',
    'gateway_attempts_total',
    'attempts',
    'Attempts at endpoints of routes, by service and result.',
    ['service', 'result'],
  ),
  gatewayFirstByte: createDefinition(
    'gateway',
    'histogram',
    'gateway_first_byte_seconds',
    'seconds',
    'Time from the receipt of a request to the first byte of its answer, by route.',
    ['route'],
  ),
  gatewayDuration: createDefinition(
    'gateway',
    'histogram',
    'gateway_request_seconds',
    'seconds',
    'Time from the receipt of a request to its end, by route.',
    ['route'],
  ),
  gatewayActive: createDefinition(
    'gateway',
    'gauge',
    'gateway_requests_active',
    'requests',
    'Requests of routes under way.',
  ),
  queue: createDefinition('agent', 'gauge', 'attempts_queued', 'attempts', 'Attempts that wait.'),
  running: createDefinition('agent', 'gauge', 'attempts_running', 'attempts', 'Attempts that run.'),
  attempts: createDefinition(
    'agent',
    'counter',
    'attempts_total',
    'attempts',
    'Attempts that ended, by outcome: ran or never.',
    ['outcome'],
  ),
  configCommitted: createDefinition(
    'control',
    'gauge',
    'config_committed_index',
    'log entries',
    'Last committed entry of the config group, as this host knows it.',
  ),
  ledgerCommitted: createDefinition(
    'control',
    'gauge',
    'ledger_committed_index',
    'log entries',
    'Last committed entry of the ledger group, as this host knows it.',
  ),
  leader: createDefinition(
    'control',
    'gauge',
    'config_leader',
    '0 or 1',
    'Whether this host leads the config group.',
  ),
  nodes: createDefinition(
    'control',
    'gauge',
    'nodes_registered',
    'processes',
    'Registered entries and agents; each holds a lease or lost it lately.',
  ),
  revision: createDefinition(
    'all',
    'gauge',
    'view_revision',
    'revision',
    'Revision of the configuration that this process has.',
  ),
  lease: createDefinition(
    'all',
    'gauge',
    'ready',
    '0 or 1',
    'Whether /readyz answers 200: a lease is held, or at control a leader is known.',
  ),
  calls: createDefinition(
    'all',
    'counter',
    'rpc_calls_total',
    'calls',
    'Calls answered on the internal port, by method and result: ok or the type of the error.',
    ['method', 'result'],
  ),
} as const;

/** Names by which the code knows the metrics. */
export type MetricName = keyof typeof METRIC_DEFINITIONS;

const ROLES: readonly MetricRole[] = ['all', 'entry', 'agent', 'control'];

const formatRow = (definition: MetricDefinition): string => {
  const { name, type, unit, labels, help } = definition;
  const names = labels.map((label) => `\`${label}\``).join(', ');
  return `| \`${name}\` | ${type} | ${unit} | ${names} | ${help} |`;
};

const formatRole = (role: MetricRole): string => {
  const all: readonly MetricDefinition[] = Object.values(METRIC_DEFINITIONS);
  return [
    `## ${role === 'all' ? 'every role' : role}`,
    '',
    '| name | type | unit | labels | meaning |',
    '| --- | --- | --- | --- | --- |',
    ...all.filter((definition) => definition.role === role).map(formatRow),
  ].join('\n');
};

/** Formats the list of all metrics as a page in Markdown. */
export const formatMetricsReference = (): string =>
  [
    '# Metrics',
    '',
    'Generated by `npm run docs:metrics`; a test checks that it is current and that each role serves',
    'these and no others of the prefix. Every process answers `GET /metrics` on its internal port in the',
    'Prometheus text format, together with the usual `process_` and `nodejs_` metrics, and `GET /livez`',
    'and `GET /readyz`.',
    '',
    ROLES.map(formatRole).join('\n\n'),
    '',
  ].join('\n');
