import test from 'ava';
import {
  createLoadAggregator,
  type LoadAggregator,
  type DispatchedPrompt,
  type PromptCursor,
} from '..';

test('load aggregator: a gateway gets the summed loads of the others, without stale ones', (t) => {
  const aggregator = createLoadAggregator();
  const callExchange = (gateway: string, running: number, now: number) => {
    const loads = [{ endpoint: 'e', running, readMs: running * 10 }];
    return aggregator.exchange({ gateway, loads, reads: [] }, now).loads;
  };
  callExchange('a', 1, 0);
  callExchange('b', 2, 900);
  t.deepEqual(callExchange('c', 4, 1_000), [{ endpoint: 'e', running: 3, readMs: 30 }]);
  t.deepEqual(callExchange('c', 4, 1_500), [{ endpoint: 'e', running: 2, readMs: 20 }]);
});

// Gateways of two versions report to one host: work without a priority stays in the total only.
test('load aggregator: work is summed by priority, beside work without one', (t) => {
  const aggregator = createLoadAggregator();
  const callExchange = (gateway: string, readMs: number, readMsByPriority?: readonly number[]) =>
    aggregator.exchange(
      { gateway, loads: [{ endpoint: 'e', running: 1, readMs, readMsByPriority }], reads: [] },
      0,
    );
  callExchange('old', 100);
  callExchange('a', 30, [10, 20]);
  callExchange('b', 50, [0, 0, 50]);
  const answer = callExchange('c', 0);
  const load = { endpoint: 'e', running: 3, readMs: 180, readMsByPriority: [10, 20, 50] };
  t.deepEqual(answer.loads, [load]);
  t.true(answer.takesPriorities);
});

const createPrompt = (part: string): DispatchedPrompt => ({
  endpoint: 'e',
  model: 'm',
  parts: [[part, 100]],
});

const callExchangePrompts = (
  aggregator: LoadAggregator,
  gateway: string,
  parts: readonly string[],
  cursor?: PromptCursor,
) => {
  const reads = parts.map(createPrompt);
  const answer = aggregator.exchange({ gateway, loads: [], reads, cursor }, 0);
  return { cursor: answer.cursor, parts: answer.reads.map((read) => read.parts[0]![0]) };
};

test('load aggregator: each other gateway gets a prompt once, and a new gateway gets all prompts', (t) => {
  const aggregator = createLoadAggregator('one');
  const a = callExchangePrompts(aggregator, 'a', ['1', '2']);
  t.deepEqual(a.parts, []);
  const b = callExchangePrompts(aggregator, 'b', ['3']);
  t.deepEqual(b.parts, ['1', '2']);
  t.deepEqual(callExchangePrompts(aggregator, 'a', [], a.cursor).parts, ['3']);
  t.deepEqual(callExchangePrompts(aggregator, 'b', [], b.cursor).parts, []);
  t.deepEqual(callExchangePrompts(aggregator, 'a', []).parts, ['1', '2', '3'], 'a has restarted');
  const other = createLoadAggregator('two');
  t.deepEqual(callExchangePrompts(other, 'b', ['4'], b.cursor).parts, []);
  t.deepEqual(
    callExchangePrompts(other, 'a', [], a.cursor).parts,
    ['4'],
    'a cursor of another aggregator',
  );
});

// Guards against an unbounded answer: on a slow link, the call would time out every time.
test('load aggregator: an answer holds only the latest prompts', (t) => {
  const aggregator = createLoadAggregator('one');
  const first = callExchangePrompts(aggregator, 'a', ['first']);
  for (let round = 0; round < 20; round += 1) {
    callExchangePrompts(
      aggregator,
      'a',
      Array.from({ length: 500 }, (_item, index) => `${round}-${index}`),
    );
  }
  const { parts } = callExchangePrompts(aggregator, 'b', [], first.cursor);
  t.is(parts.length, 500);
  t.is(parts.at(-1), '19-499');
});
