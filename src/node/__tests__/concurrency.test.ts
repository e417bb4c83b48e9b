import test from 'ava';
import { callEntry, startCluster, waitFor } from './cluster';

const STREAMS = 150;
const TOKENS = 1_000;

test('an entry streams many answers concurrently from one agent', async (t) => {
  const engine = { slots: STREAMS, tokenMs: 20, tokens: TOKENS };
  const cluster = await startCluster({ engines: [engine] });
  t.teardown(cluster.stop);
  const [entry] = cluster.entries as [string];
  const call = { entry, organisation: 'yard', kind: 'stream', text: 'long' } as const;
  const isServing = async (): Promise<boolean> =>
    (await callEntry({ ...call, text: 'first', tokens: 1 })).status === 200;
  await waitFor('an endpoint in the view', isServing);
  const open = Array.from({ length: STREAMS }, () => callEntry(call).catch(() => undefined));
  const countRunning = (): number =>
    cluster.engines[0]!.listRuns().filter((run) => run.state === 'running').length;
  await waitFor('every stream to run at once', () => countRunning() === STREAMS, 15_000);
  await cluster.stop();
  await Promise.all(open);
  t.pass();
});
