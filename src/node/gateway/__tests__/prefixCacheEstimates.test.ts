import test from 'ava';
import { createPrefixCacheEstimates, createPromptKey } from '../prefixCacheEstimates';
import type { PromptBlock } from '../types';

const createParts = (...ids: readonly string[]): readonly PromptBlock[] =>
  ids.map((id) => ({ id, tokens: 1_000 }));

const cases = [
  { name: 'nothing was sent', sent: [], asked: ['a', 'b', 'c'], shared: 2_000, all: 3_000 },
  { name: 'the same prompt', sent: [['a', 'b', 'c']], asked: ['a', 'b', 'c'], shared: 0, all: 0 },
  {
    name: 'the same beginning',
    sent: [['a', 'b', 'x']],
    asked: ['a', 'b', 'c'],
    shared: 0,
    all: 1_000,
  },
  { name: 'a shorter one', sent: [['a', 'x']], asked: ['a', 'b', 'c'], shared: 1_000, all: 2_000 },
  {
    name: 'a part held without the one before it counts for nothing',
    sent: [['b', 'x']],
    asked: ['a', 'b', 'c'],
    shared: 2_000,
    all: 3_000,
  },
  {
    name: 'parts that others have pushed out',
    sent: [
      ['a', 'x'],
      ['d', 'e'],
      ['f', 'g'],
      ['h', 'i'],
      ['j', 'k'],
    ],
    asked: ['a', 'c'],
    shared: 1_000,
    all: 2_000,
  },
] as const;

for (const { name, sent, asked, shared, all } of cases) {
  for (const way of ['sent here', 'sent by another gateway'] as const) {
    test(`what an endpoint holds: ${name}, ${way}`, (t) => {
      const beliefs = createPrefixCacheEstimates(() => 10_000);
      sent.forEach((ids) => {
        if (way === 'sent here') beliefs.record('e', 'm', createParts(...ids));
        else {
          const parts = ids.map((id) => [id, 1_000] as [string, number]);
          beliefs.applyPeerPrompts([{ endpoint: 'e', model: 'm', parts }]);
        }
      });
      t.deepEqual(beliefs.countUncached('e', createPromptKey('m', createParts(...asked))), {
        shared,
        all,
      });
      t.is(
        beliefs.countUncached('e', createPromptKey('other', createParts(...asked))).total,
        asked.length * 1_000,
      );
    });
  }
}

test('what an endpoint holds: endpoints that are gone are forgotten', (t) => {
  const sizes = new Map([['e', 10_000]]);
  const beliefs = createPrefixCacheEstimates((endpoint) => sizes.get(endpoint));
  beliefs.record('e', 'm', createParts('a', 'b'));
  t.is(beliefs.countUncached('e', createPromptKey('m', createParts('a', 'b'))).total, 0);
  sizes.clear();
  beliefs.expire();
  t.is(beliefs.countUncached('e', createPromptKey('m', createParts('a', 'b'))).total, 2_000);
});

test('what an endpoint holds: news go out once, and again when they did not arrive', (t) => {
  const beliefs = createPrefixCacheEstimates(() => 10_000);
  beliefs.record('e', 'm', createParts('a'));
  const news = beliefs.drainDispatched();
  t.is(news.length, 1);
  t.deepEqual(beliefs.drainDispatched(), []);
  beliefs.record('e', 'm', createParts('b'));
  beliefs.restoreDispatched(news);
  t.deepEqual(
    beliefs.drainDispatched().map((read) => read.parts[0]![0]),
    ['a', 'b'],
  );
});
