import { setImmediate as waitForTurn } from 'node:timers/promises';
import test from 'ava';
import pino from 'pino';
import { Left, Right, type Either } from 'purify-ts';
import { createError, type RouterError } from '../../errors';
import type { ConfigId } from '../../routingControl';
import type { HeldConfig } from '../configFetch';
import { createConfigFollower } from '../configFollower';

const createId = (digest: string): ConfigId => ({ version: 1, digest });

const createHeld = (digest: string): HeldConfig => ({ id: createId(digest), config: {} as never });

/** An answer that names a configuration, or the end of the running fetch. */
type Step =
  { readonly named: string | null; readonly at: number } | { readonly fetch: 'ends' | 'fails' };

interface Case {
  readonly name: string;
  readonly steps: readonly Step[];
  /** Configurations that were fetched, in order. */
  readonly fetched: string;
  /** Confirmations of configurations, with the times of their answers. */
  readonly confirmed: readonly string[];
}

const cases: readonly Case[] = [
  {
    name: 'each answer confirms the held configuration',
    steps: [{ named: 'a', at: 1 }, { fetch: 'ends' }, { named: 'a', at: 2 }],
    fetched: 'a',
    confirmed: ['a 1', 'a 2'],
  },
  {
    name: 'answers during a fetch do not confirm the configuration before it',
    steps: [
      { named: 'a', at: 1 },
      { fetch: 'ends' },
      { named: 'b', at: 2 },
      { named: 'b', at: 3 },
      { fetch: 'ends' },
    ],
    fetched: 'ab',
    confirmed: ['a 1', 'b 3'],
  },
  {
    name: 'a fetch is completed although a later configuration is named',
    steps: [
      { named: 'a', at: 1 },
      { named: 'a', at: 2 },
      { named: 'b', at: 3 },
      { fetch: 'ends' },
      { named: 'b', at: 4 },
      { fetch: 'ends' },
    ],
    fetched: 'ab',
    confirmed: ['a 2', 'b 4'],
  },
  {
    name: 'a fetch that failed is repeated for the latest configuration',
    steps: [{ named: 'a', at: 1 }, { named: 'b', at: 2 }, { fetch: 'fails' }, { fetch: 'ends' }],
    fetched: 'ab',
    confirmed: ['b 2'],
  },
  {
    name: 'an answer names no configuration',
    steps: [{ named: null, at: 1 }],
    fetched: '',
    confirmed: ['none 1'],
  },
];

for (const { name, steps, fetched, confirmed } of cases) {
  test(`configuration that a gateway follows: ${name}`, async (t) => {
    const fetches: string[] = [];
    const confirmations: string[] = [];
    let settle: ((answer: Either<RouterError, HeldConfig>) => void) | undefined;
    const follower = createConfigFollower({
      configFetch: {
        fetch: (_hosts, { digest }) => {
          fetches.push(digest);
          return new Promise((resolve) => {
            settle = resolve;
          });
        },
      },
      log: pino({ level: 'silent' }),
      handleConfirmed: (held, { askedAt }) =>
        confirmations.push(`${held?.id.digest ?? 'none'} ${askedAt.monotonicMs}`),
    });
    t.teardown(follower.stop);
    const endings = {
      ends: () => Right(createHeld(fetches.at(-1)!)),
      fails: () => Left(createError({ type: 'timeout', message: 'no answer', step: 'test' })),
    } as const;
    for (const step of steps) {
      if ('fetch' in step) {
        while (!settle) await waitForTurn();
        settle(endings[step.fetch]());
        settle = undefined;
      } else {
        follower.recordNamed({
          id: step.named === null ? null : createId(step.named),
          revision: step.at,
          askedAt: { monotonicMs: step.at } as never,
          hosts: [],
        });
      }
      await waitForTurn();
    }
    t.is(fetches.join(''), fetched);
    t.deepEqual(confirmations, [...confirmed]);
  });
}
