// Measures the latency of claims and intents with three control processes, and the throughput of
// the ledger's state machine alone: `npx tsx bench/ledger.ts`.
import { loadavg } from 'node:os';
import { performance } from 'node:perf_hooks';
import { build, type Histogram } from 'hdr-histogram-js';
import { createLedgerState, type LedgerCommand } from '../src/node/ledger';
import { createControlHosts, waitFor } from '../src/node/replication/__tests__/controlHosts';

type Hosts = Awaited<ReturnType<typeof createControlHosts>>;

const NODES = ['control-1', 'control-2', 'control-3'] as const;
const ROUNDS = 400;
const WARM_UP_ROUNDS = 50;
const BATCH = 20;
const RECORDS = 200_000;
const MICROSECONDS = 1_000;
const OWNER = { node: 'entry-1', incarnation: 1 } as const;
const TARGET = { model: 'small', version: 'v1' } as const;
const AGENT = { agent: 'agent-1', incarnation: 2 } as const;
const ORGANISATION = 'organisation-1';

const print = (line: string): void => console.log(line);
let nextRequest = 0;

const createRequestId = (): string => {
  nextRequest += 1;
  return `request-${nextRequest}`;
};

const createClaim = (requestId: string): LedgerCommand => ({
  type: 'claim',
  organisation: ORGANISATION,
  key: `key-${requestId}`,
  bodyHash: 'hash',
  requestId,
  owner: OWNER,
  at: Date.now(),
});

const createIntent = (requestId: string): LedgerCommand => ({
  type: 'intent',
  organisation: ORGANISATION,
  requestId,
  attempt: 0,
  ...AGENT,
  ...TARGET,
  owner: OWNER,
  at: Date.now(),
});

const createSettle = (requestId: string): LedgerCommand => ({
  type: 'settle',
  organisation: ORGANISATION,
  requestId,
  owner: OWNER,
  outcome: 'ran',
  reports: [
    {
      attempt: 0,
      ...AGENT,
      ...TARGET,
      outcome: 'ran',
      usage: { ...TARGET, inputTokens: 10, outputTokens: 20, cost: 0.01 },
    },
  ],
  at: Date.now(),
});

const formatMs = (histogram: Histogram): string =>
  [50, 95, 99]
    .map((part) => (histogram.getValueAtPercentile(part) / MICROSECONDS).toFixed(2))
    .join(' / ');

const runLatency = async (
  hosts: Hosts,
  node: string,
  title: string,
  createCommands: () => readonly LedgerCommand[],
): Promise<void> => {
  const histogram = build({ highestTrackableValue: 60_000_000 });
  let failures = 0;
  for (let round = 0; round < ROUNDS + WARM_UP_ROUNDS; round += 1) {
    const commands = createCommands();
    const sentAt = performance.now();
    const answer = await hosts.call(hosts.addresses.get(node)!, 'ledger.propose', { commands });
    if (round < WARM_UP_ROUNDS) continue;
    histogram.recordValue((performance.now() - sentAt) * MICROSECONDS);
    if (answer.isLeft()) failures += 1;
  }
  print(`${title}: ms ${formatMs(histogram)} over ${ROUNDS} calls, failures ${failures}`);
};

const runState = (): void => {
  const state = createLedgerState();
  const begin = performance.now();
  for (let index = 0; index < RECORDS; index += 1) {
    const requestId = createRequestId();
    state.apply(index, createIntent(requestId));
    state.apply(index, createSettle(requestId));
  }
  const seconds = (performance.now() - begin) / 1_000;
  const rate = Math.round((2 * RECORDS) / seconds);
  print(`state machine alone: ${rate} commands/s over ${2 * RECORDS} commands`);
  const expireAt = performance.now();
  state.apply(0, { type: 'expire', at: Date.now() });
  print(`expire with ${RECORDS} settled requests: ${(performance.now() - expireAt).toFixed(0)} ms`);
};

const runAll = async (): Promise<void> => {
  print(`load average before: ${loadavg()[0]!.toFixed(1)}`);
  const hosts = await createControlHosts(NODES);
  try {
    NODES.forEach((node) => hosts.start(node));
    const leader = await waitFor('a ledger leader', async () => {
      const found = await Promise.all(NODES.map(hosts.readStatus));
      return NODES.find((_, index) => found[index]?.ledger.role === 'leader');
    });
    const follower = NODES.find((node) => node !== leader)!;
    const createOne = (create: (id: string) => LedgerCommand) => () => [create(createRequestId())];
    await runLatency(hosts, leader, 'claim at the leader', createOne(createClaim));
    await runLatency(hosts, follower, 'claim at a follower', createOne(createClaim));
    await runLatency(hosts, leader, 'intent at the leader', createOne(createIntent));
    await runLatency(hosts, follower, 'intent at a follower', createOne(createIntent));
    await runLatency(hosts, leader, `${BATCH} intents in one call`, () =>
      Array.from({ length: BATCH }, () => createIntent(createRequestId())),
    );
  } finally {
    await hosts.stop();
  }
  runState();
  print(`load average after: ${loadavg()[0]!.toFixed(1)}`);
};

await runAll();
