/** Descriptions of the inventory keys, for the reference page. */
export const KEY_DESCRIPTIONS: Readonly<Record<string, string>> = {
  zones: 'Availability zones.',
  'zones[].name': 'Name of the zone, as set in the settings of its processes.',
  'zones[].region': 'Region that the zone belongs to.',
  hosts: 'Hosts that run endpoints.',
  'hosts[].name': "Name of the host, as set in its agent's settings.",
  'hosts[].zone': 'Zone of the host.',
  'hosts[].address': 'IP address of the host.',
  models: 'Models, in any order.',
  'models[].name': 'Name under which callers request the model.',
  'models[].stableVersion': 'Version that new sessions get when no roll-out is active.',
  'models[].versions': 'Versions of the model that may serve requests.',
  'models[].versions[].name': 'Name of the version.',
  'models[].versions[].state':
    '`draining` keeps bound sessions and accepts no new ones; `withdrawn` accepts no new work.',
  'models[].versions[].priorQuality':
    "Assumed quality, 0 to 1, until there are ratings. Default: the model's `priorQuality`.",
  'models[].inputCostPerThousand': "Price of 1,000 input tokens, in the operators' currency unit.",
  'models[].outputCostPerThousand': 'Price of 1,000 output tokens, in the same unit.',
  'models[].priorQuality': 'Assumed quality, 0 to 1, until there are ratings.',
  'models[].priorLatencyMs':
    'Assumed time to the complete answer in milliseconds, until there are measurements.',
  services: 'Plain (non-model) services.',
  'services[].name': 'Name in `/v1/services/NAME/`.',
  'services[].routes':
    'Which calls are idempotent. A call that matches no rule counts as not idempotent.',
  'services[].routes[].method': 'HTTP method.',
  'services[].routes[].path': 'Path prefix below the service. The longest matching prefix applies.',
  'services[].routes[].idempotent': 'Whether the system may retry a call.',
  endpoints: 'Endpoints that have versions to load or are leaving. Others need not be listed.',
  'endpoints[].name': 'Name under which the endpoint announces itself.',
  'endpoints[].host': 'Host of the endpoint.',
  'endpoints[].load':
    'Versions that the engine must have loaded. If absent, nothing is loaded or unloaded.',
  'endpoints[].load[].model': 'Model of the version.',
  'endpoints[].load[].version': 'Version of that model.',
  'endpoints[].service': 'Plain (non-model) service that the endpoint runs.',
  'endpoints[].role': 'Role to set at the engine. The value is passed on unchanged.',
  'endpoints[].adapters':
    'Adapters that the engine must have loaded. If absent, none are loaded or unloaded.',
  'endpoints[].state': 'A `leaving` endpoint gets no new work.',
  organisations: 'Organisations with their permissions and caps.',
  'organisations[].name': 'Name of the organisation, as shown on bills.',
  'organisations[].keyHashes':
    "SHA-256 hash of each of the organisation's API keys, in hexadecimal.",
  'organisations[].models': 'Models that the organisation may use.',
  'organisations[].models[].name': 'Name of the model.',
  'organisations[].models[].versions':
    'Allowed versions of the model. If absent, all versions are allowed.',
  'organisations[].services': 'Plain (non-model) services that the organisation may use.',
  'organisations[].weight':
    'Share of the capacity under overload, relative to the weights of the other organisations.',
  'organisations[].qualityTarget':
    'Quality that answers must reach, 0 to 1. Default: `rules.qualityTarget`.',
  'organisations[].cap': 'Limits over all entries together. Absent limits do not apply.',
  'organisations[].cap.requestsPerSecond': 'Requests per second.',
  'organisations[].cap.tokensPerSecond': 'Tokens per second.',
  'organisations[].cap.inFlight': 'Concurrent requests.',
  rules: 'Rules for cost, quality, roll-outs and tasks.',
  'rules.qualityTarget':
    'Quality that answers must reach, 0 to 1, unless the organisation or task sets another target.',
  'rules.confidence': 'Confidence with which the quality target must be reached.',
  'rules.latencyWeight': 'Cost of one second of latency, in cost units.',
  'rules.ratingShare': 'Share of answers to rate.',
  'rules.ratingCost': 'Cost of one rating, in cost units.',
  'rules.explorationShare': 'Share of requests that may try a model whose estimate is uncertain.',
  'rules.retryBudget': 'Retries and hedges as a share of requests, per entry.',
  'rules.tasks': 'Tasks, which callers name in `metadata.task`.',
  'rules.tasks[].name': 'Name of the task.',
  'rules.tasks[].class':
    '`urgent` requests go first and skip whatever would miss their deadline. `deferrable` requests yield to others.',
  'rules.tasks[].idempotent': 'Whether the system may run a request of this task more than once.',
  'rules.tasks[].value': '`high`: the task gets a new version last in a roll-out.',
  'rules.tasks[].qualityTarget': 'Quality that answers of this task must reach.',
  'rules.tasks[].deadlineMs': 'Deadline for the complete answer, in milliseconds.',
  'rules.weightStore': 'Limits of the weight store.',
  'rules.weightStore.loadsPerMinute':
    'Maximum number of loads per minute from the weight store, over all agents.',
  'rules.rollout': 'Rules for roll-outs.',
  'rules.rollout.steps':
    'Share of new sessions that get the new version at each step, in increasing order.',
  'rules.rollout.minSamplesPerStep': 'Number of ratings that a step needs before the next step.',
  'rules.rollout.toleratedFall': 'Drop in quality that must be ruled out before the last step.',
  'rules.rollout.falseHaltRate': 'Share of good versions that may be halted by mistake.',
};
