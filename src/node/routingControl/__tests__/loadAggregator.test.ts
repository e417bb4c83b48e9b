import test from 'ava';
import {
  createLoadAggregator,
  type LoadAggregator,
  type DispatchedPrompt,
  type PromptCursor,
} from '..';

test('load board: a gateway gets the sums of the others, without old ones', (t) => {
  const board = createLoadAggregator();
  const callExchange = (gateway: string, running: number, now: number) => {
    const loads = [{ endpoint: 'e', running, readMs: running * 10 }];
    return board.exchange({ gateway, loads, reads: [] }, now).loads;
  };
  callExchange('a', 1, 0);
  callExchange('b', 2, 900);
  t.deepEqual(callExchange('c', 4, 1_000), [{ endpoint: 'e', running: 3, readMs: 30 }]);
  t.deepEqual(callExchange('c', 4, 1_500), [{ endpoint: 'e', running: 2, readMs: 20 }]);
});

const createPrompt = (part: string): DispatchedPrompt => ({
  endpoint: 'e',
  model: 'm',
  parts: [[part, 100]],
});

const callExchangePrompts = (
  board: LoadAggregator,
  gateway: string,
  parts: readonly string[],
  cursor?: PromptCursor,
) => {
  const reads = parts.map(createPrompt);
  const answer = board.exchange({ gateway, loads: [], reads, cursor }, 0);
  return { cursor: answer.cursor, parts: answer.reads.map((read) => read.parts[0]![0]) };
};

test('load board: prompts reach each other gateway once, and a new gateway gets them all', (t) => {
  const board = createLoadAggregator('one');
  const a = callExchangePrompts(board, 'a', ['1', '2']);
  t.deepEqual(a.parts, []);
  const b = callExchangePrompts(board, 'b', ['3']);
  t.deepEqual(b.parts, ['1', '2']);
  t.deepEqual(callExchangePrompts(board, 'a', [], a.cursor).parts, ['3']);
  t.deepEqual(callExchangePrompts(board, 'b', [], b.cursor).parts, []);
  t.deepEqual(callExchangePrompts(board, 'a', []).parts, ['1', '2', '3'], 'a has started anew');
  const other = createLoadAggregator('two');
  t.deepEqual(callExchangePrompts(other, 'b', ['4'], b.cursor).parts, []);
  t.deepEqual(
    callExchangePrompts(other, 'a', [], a.cursor).parts,
    ['4'],
    'a cursor of another board',
  );
});

// A whole history would not reach a gateway with a narrow link before the call times out, ever.
test('load board: an answer holds the newest prompts only', (t) => {
  const board = createLoadAggregator('one');
  const first = callExchangePrompts(board, 'a', ['first']);
  for (let round = 0; round < 20; round += 1) {
    callExchangePrompts(
      board,
      'a',
      Array.from({ length: 500 }, (_item, index) => `${round}-${index}`),
    );
  }
  const { parts } = callExchangePrompts(board, 'b', [], first.cursor);
  t.is(parts.length, 500);
  t.is(parts.at(-1), '19-499');
});
