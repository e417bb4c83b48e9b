import test from 'ava';
import { createPrefixCacheEstimates, createPromptKey } from '../prefixCacheEstimates';
import type { PromptBlock } from '../types';

const createBlocks = (...ids: readonly string[]): readonly PromptBlock[] =>
  ids.map((id) => ({ id, tokens: 1_000 }));

const cases = [
  { name: 'no prompt was sent', sent: [], asked: ['a', 'b', 'c'], shared: 2_000, total: 3_000 },
  { name: 'the same prompt', sent: [['a', 'b', 'c']], asked: ['a', 'b', 'c'], shared: 0, total: 0 },
  {
    name: 'a prompt with the same prefix',
    sent: [['a', 'b', 'x']],
    asked: ['a', 'b', 'c'],
    shared: 0,
    total: 1_000,
  },
  {
    name: 'a prompt with a shorter shared prefix',
    sent: [['a', 'x']],
    asked: ['a', 'b', 'c'],
    shared: 1_000,
    total: 2_000,
  },
  {
    name: 'a cached block does not count if the block before it is missing',
    sent: [['b', 'x']],
    asked: ['a', 'b', 'c'],
    shared: 2_000,
    total: 3_000,
  },
  {
    name: 'blocks that later prompts have evicted',
    sent: [
      ['a', 'x'],
      ['d', 'e'],
      ['f', 'g'],
      ['h', 'i'],
      ['j', 'k'],
    ],
    asked: ['a', 'c'],
    shared: 1_000,
    total: 2_000,
  },
] as const;

for (const { name, sent, asked, shared, total } of cases) {
  for (const origin of ['sent here', 'sent by another gateway'] as const) {
    test(`uncached tokens of a prompt: ${name}, ${origin}`, (t) => {
      const estimates = createPrefixCacheEstimates(() => 10_000);
      sent.forEach((ids) => {
        if (origin === 'sent here') estimates.record('e', 'm', createBlocks(...ids));
        else {
          const parts = ids.map((id) => [id, 1_000] as [string, number]);
          estimates.applyPeerPrompts([{ endpoint: 'e', model: 'm', parts }]);
        }
      });
      t.deepEqual(estimates.countUncached('e', createPromptKey('m', createBlocks(...asked))), {
        shared,
        total,
      });
      t.is(
        estimates.countUncached('e', createPromptKey('other', createBlocks(...asked))).total,
        asked.length * 1_000,
      );
    });
  }
}

test('prefix cache estimates: endpoints that are no longer in use are removed', (t) => {
  const sizes = new Map([['e', 10_000]]);
  const estimates = createPrefixCacheEstimates((endpoint) => sizes.get(endpoint));
  estimates.record('e', 'm', createBlocks('a', 'b'));
  t.is(estimates.countUncached('e', createPromptKey('m', createBlocks('a', 'b'))).total, 0);
  sizes.clear();
  estimates.expire();
  t.is(estimates.countUncached('e', createPromptKey('m', createBlocks('a', 'b'))).total, 2_000);
});

test('prefix cache estimates: sent prompts are drained once, and again after they are restored', (t) => {
  const estimates = createPrefixCacheEstimates(() => 10_000);
  estimates.record('e', 'm', createBlocks('a'));
  const drained = estimates.drainDispatched();
  t.is(drained.length, 1);
  t.deepEqual(estimates.drainDispatched(), []);
  estimates.record('e', 'm', createBlocks('b'));
  estimates.restoreDispatched(drained);
  t.deepEqual(
    estimates.drainDispatched().map((prompt) => prompt.parts[0]![0]),
    ['a', 'b'],
  );
});
