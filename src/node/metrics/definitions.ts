/** The role that serves a metric; metrics of `all` are served by every role. */
export type MetricRole = 'entry' | 'gateway' | 'agent' | 'control' | 'all';

/** The definition of a metric. The name includes the unit. */
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

/** All metrics of the system, by their names in the code. */
export const METRIC_DEFINITIONS = {
  requests: createDefinition(
    'entry',
    'counter',
    'requests_total',
    'requests',
    'Requests answered; the model is empty for plain services and refused requests.',
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
  active: createDefinition(
    'entry',
    'gauge',
    'requests_active',
    'requests',
    'Requests in progress.',
  ),
  refusals: createDefinition(
    'entry',
    'counter',
    'refusals_total',
    'requests',
    'Requests that ended in an error, by error type.',
    ['type'],
  ),
  retries: createDefinition(
    'entry',
    'counter',
    'retries_total',
    'attempts',
    'Retries: attempts after the first attempt of a request.',
  ),
  gatewayRequests: createDefinition(
    'gateway',
    'counter',
    'gateway_requests_total',
    'requests',
    'Requests that ended, by route and kind of end; the route is empty if none matched.',
    ['route', 'end'],
  ),
  gatewayAttempts: createDefinition(
    'gateway',
    'counter',
    'gateway_attempts_total',
    'attempts',
    'Attempts sent to endpoints of routes, by service and result.',
    ['service', 'result'],
  ),
  gatewayEnginePriorities: createDefinition(
    'gateway',
    'counter',
    'gateway_engine_priorities_total',
    'attempts',
    'Attempts sent to engines, by service and priority.',
    ['service', 'priority'],
  ),
  gatewayDisplacedWork: createDefinition(
    'gateway',
    'counter',
    'gateway_displaced_prefill_seconds_total',
    'seconds',
    'Prefill that was pending behind each attempt when it was sent to an engine, by service.',
    ['service'],
  ),
  gatewayPendingPrefill: createDefinition(
    'gateway',
    'gauge',
    'gateway_pending_prefill_seconds',
    'seconds',
    "Predicted prefill of this gateway's attempts without a first token, by engine priority.",
    ['priority'],
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
    'Requests of routes in progress.',
  ),
  gatewayAdmissions: createDefinition(
    'gateway',
    'counter',
    'gateway_admissions_total',
    'requests',
    'Decisions on requests of services whose routes differ in rank, by route, outcome (admitted, waited, refused) and reason.',
    ['route', 'outcome', 'reason'],
  ),
  gatewayAdmissionWait: createDefinition(
    'gateway',
    'histogram',
    'gateway_admission_wait_seconds',
    'seconds',
    'Time that requests waited at the gateway for their place, by route.',
    ['route'],
  ),
  gatewayBlocksQuarantined: createDefinition(
    'gateway',
    'gauge',
    'gateway_prompt_blocks_quarantined',
    'blocks',
    'Prompt blocks whose requests are refused because they take endpoints down.',
  ),
  gatewayZonesEvacuated: createDefinition(
    'gateway',
    'gauge',
    'gateway_zones_evacuated',
    'zones',
    'Evacuated zones, whose endpoints get no requests, as known to this gateway; 0 without a lease.',
  ),
  gatewayRequestsQuarantined: createDefinition(
    'gateway',
    'gauge',
    'gateway_requests_quarantined',
    'requests',
    'Requests, by fingerprint, that are refused because they take endpoints down.',
  ),
  gatewayColdPermits: createDefinition(
    'gateway',
    'counter',
    'gateway_cold_permits_total',
    'permits',
    'Permits to send to cold endpoints: asked, given, used; refused counts requests without one.',
    ['service', 'step'],
  ),
  gatewayEndpointSpeed: createDefinition(
    'gateway',
    'histogram',
    'gateway_endpoint_time_factor',
    'ratio',
    'Time factors of endpoints against their pool, one observation per endpoint every 10 s.',
    ['kind'],
  ),
  queue: createDefinition(
    'agent',
    'gauge',
    'attempts_queued',
    'attempts',
    'Attempts waiting in the queue.',
  ),
  running: createDefinition(
    'agent',
    'gauge',
    'attempts_running',
    'attempts',
    'Attempts in progress.',
  ),
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
    'Index of the last committed entry of the config group, as known to this host.',
  ),
  ledgerCommitted: createDefinition(
    'control',
    'gauge',
    'ledger_committed_index',
    'log entries',
    'Index of the last committed entry of the ledger group, as known to this host.',
  ),
  leader: createDefinition(
    'control',
    'gauge',
    'config_leader',
    '0 or 1',
    '1 if this host is the leader of the config group, else 0.',
  ),
  zonesEvacuated: createDefinition(
    'control',
    'gauge',
    'zones_evacuated',
    'zones',
    'Evacuated zones as known to this routing control host.',
  ),
  nodes: createDefinition(
    'control',
    'gauge',
    'nodes_registered',
    'processes',
    'Registered entries and agents; each holds a lease or lost it recently.',
  ),
  revision: createDefinition(
    'all',
    'gauge',
    'view_revision',
    'revision',
    'Configuration revision that this process holds.',
  ),
  lease: createDefinition(
    'all',
    'gauge',
    'ready',
    '0 or 1',
    '1 if /readyz answers 200: the process holds a lease, or a control host knows a leader.',
  ),
  calls: createDefinition(
    'all',
    'counter',
    'rpc_calls_total',
    'calls',
    'RPC calls answered on the internal port, by method and result: ok or the error type.',
    ['method', 'result'],
  ),
} as const;

/** Names of the metrics in the code. */
export type MetricName = keyof typeof METRIC_DEFINITIONS;

/** Headings of the roles on the generated page, in its order. */
const ROLE_HEADINGS: Readonly<Record<MetricRole, string>> = {
  all: 'every role',
  entry: 'entry',
  gateway: 'gateway',
  agent: 'agent',
  control: 'control',
};

const formatRow = (definition: MetricDefinition): string => {
  const { name, type, unit, labels, help } = definition;
  const names = labels.map((label) => `\`${label}\``).join(', ');
  return `| \`${name}\` | ${type} | ${unit} | ${names} | ${help} |`;
};

const formatRole = ([role, heading]: readonly [string, string]): string => {
  const all: readonly MetricDefinition[] = Object.values(METRIC_DEFINITIONS);
  return [
    `## ${heading}`,
    '',
    '| name | type | unit | labels | meaning |',
    '| --- | --- | --- | --- | --- |',
    ...all.filter((definition) => definition.role === role).map(formatRow),
  ].join('\n');
};

/** Formats the metrics reference as a Markdown page. */
export const formatMetricsReference = (): string =>
  [
    '# Metrics',
    '',
    'Generated by `npm run docs:metrics`; a test checks that the page is current and that each role',
    'serves exactly these metrics of the prefix. Every process answers `GET /metrics` on its internal',
    'port in the Prometheus text format, together with the usual `process_` and `nodejs_` metrics, and',
    '`GET /livez` and `GET /readyz`.',
    '',
    Object.entries(ROLE_HEADINGS).map(formatRole).join('\n\n'),
    '',
  ].join('\n');
