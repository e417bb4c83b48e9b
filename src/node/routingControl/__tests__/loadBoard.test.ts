import test from 'ava';
import { createLoadBoard, type LoadBoard, type PromptRead, type ReadCursor } from '..';

test('load aggregator: a gateway gets the summed loads of the others, without stale ones', (t) => {
  const board = createLoadBoard();
  const callBoard = (gateway: string, running: number, now: number) => {
    const loads = [{ endpoint: 'e', running, readMs: running * 10 }];
    return board.exchange({ gateway, loads, reads: [] }, now).loads;
  };
  callBoard('a', 1, 0);
  callBoard('b', 2, 900);
  t.deepEqual(callBoard('c', 4, 1_000), [{ endpoint: 'e', running: 3, readMs: 30 }]);
  t.deepEqual(callBoard('c', 4, 1_500), [{ endpoint: 'e', running: 2, readMs: 20 }]);
});

const createRead = (part: string): PromptRead => ({
  endpoint: 'e',
  model: 'm',
  parts: [[part, 100]],
});

const callReads = (
  board: LoadBoard,
  gateway: string,
  parts: readonly string[],
  cursor?: ReadCursor,
) => {
  const reads = parts.map(createRead);
  const answer = board.exchange({ gateway, loads: [], reads, cursor }, 0);
  return { cursor: answer.cursor, parts: answer.reads.map((read) => read.parts[0]![0]) };
};

test('load aggregator: each other gateway gets a prompt once, and a new gateway gets all prompts', (t) => {
  const board = createLoadBoard('one');
  const a = callReads(board, 'a', ['1', '2']);
  t.deepEqual(a.parts, []);
  const b = callReads(board, 'b', ['3']);
  t.deepEqual(b.parts, ['1', '2']);
  t.deepEqual(callReads(board, 'a', [], a.cursor).parts, ['3']);
  t.deepEqual(callReads(board, 'b', [], b.cursor).parts, []);
  t.deepEqual(callReads(board, 'a', []).parts, ['1', '2', '3'], 'a has restarted');
  const other = createLoadBoard('two');
  t.deepEqual(callReads(other, 'b', ['4'], b.cursor).parts, []);
  t.deepEqual(callReads(other, 'a', [], a.cursor).parts, ['4'], 'a cursor of another aggregator');
});

// Guards against an unbounded answer: on a slow link, the call would time out every time.
test('load aggregator: an answer holds only the latest prompts', (t) => {
  const board = createLoadBoard('one');
  const first = callReads(board, 'a', ['first']);
  for (let round = 0; round < 20; round += 1) {
    callReads(
      board,
      'a',
      Array.from({ length: 500 }, (_item, index) => `${round}-${index}`),
    );
  }
  const { parts } = callReads(board, 'b', [], first.cursor);
  t.is(parts.length, 500);
  t.is(parts.at(-1), '19-499');
});
