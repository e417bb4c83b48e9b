import test from 'ava';
import { startStandinRating, type StandinRating } from '../standin';
import { callEntry, startCluster, waitFor, type CallAnswer, type Cluster } from './cluster';
import { createClusterInventory } from './cluster/inventory';

const BAD_VERSION = 'v2';
const BATCH = 20;
const ROUNDS = 60;

let rating: StandinRating;
let cluster: Cluster;

// The first roll-out step assigns half of the sessions to the new version, so that a few answers
// are enough to detect its low quality.
const createInventory = () => {
  const inventory = createClusterInventory();
  const { rules, organisations } = inventory;
  return {
    ...inventory,
    organisations: organisations.map((item) =>
      item.name === 'rack' ? { ...item, cap: { requestsPerSecond: 5 } } : item,
    ),
    rules: { ...rules, ratingShare: 1, rollout: { ...rules.rollout, steps: [0.5, 1] } },
  };
};

test.before(async () => {
  const listen = { host: '127.0.0.1', port: 0 };
  rating = await startStandinRating(listen, ({ version }) => (version === BAD_VERSION ? 0.4 : 0.9));
  cluster = await startCluster({
    entries: 2,
    engines: [
      { firstTokenMs: 1, tokenMs: 0 },
      { firstTokenMs: 1, tokenMs: 0 },
    ],
    inventory: createInventory(),
    ratingAddress: rating.address,
  });
});

test.after.always(async () => {
  await cluster?.stop();
  await rating?.stop();
});

const isAnswered = (answer: CallAnswer): boolean => answer.status === 200;

const callMany = (count: number, organisation: 'yard' | 'rack'): Promise<readonly CallAnswer[]> =>
  Promise.all(
    Array.from({ length: count }, (_unused, index) =>
      callEntry({
        entry: cluster.entries[index % cluster.entries.length]!,
        organisation,
        kind: 'plain',
        text: `call ${index}`,
        model: 'small',
      }),
    ),
  );

test.serial('a roll-out of a version with lower ratings is aborted automatically', async (t) => {
  await waitFor('a first answer', async () => (await callMany(2, 'yard')).every(isAnswered));
  const started = await cluster.callAdmin(0, 'POST', '/admin/rollout', {
    base: 1,
    changeId: 'go',
    action: 'start',
    model: 'small',
    version: BAD_VERSION,
    reason: 'test',
  });
  t.is(started.status, 200, JSON.stringify(started.body));
  let newVersionTotal = 0;
  let lastAnswers: readonly CallAnswer[] = [];
  for (let round = 0; round < ROUNDS; round += 1) {
    lastAnswers = await callMany(BATCH, 'yard');
    const newVersionCount = lastAnswers.filter((answer) => answer.version === BAD_VERSION).length;
    newVersionTotal += newVersionCount;
    if (newVersionTotal > 0 && newVersionCount === 0) break;
  }
  t.true(newVersionTotal > 0);
  t.true(lastAnswers.every((answer) => answer.version === 'v1'));
  await waitFor('the withdrawal', async () => {
    const { body } = await cluster.callAdmin(0, 'GET', '/admin/status');
    return JSON.stringify(body).includes('aborted');
  });
});

test.serial('two entries enforce a shared rate cap', async (t) => {
  const startedAt = Date.now();
  let answered = 0;
  let refused = 0;
  while (Date.now() - startedAt < 6_000) {
    const answers = await callMany(10, 'rack');
    answered += answers.filter(isAnswered).length;
    refused += answers.filter((answer) => answer.status === 429).length;
  }
  t.true(answered > 0);
  t.true(refused > 0);
  t.true(answered <= 5 * 10, `${answered} answered`);
});
