import { createHash } from 'node:crypto';
import test from 'ava';
import pino from 'pino';
import { Left, Right } from 'purify-ts';
import { convertToRouterError, createError } from '../../errors';
import type { RoutingConfig } from '../../routing';
import { createConfig } from '../../routing/__tests__/configFixtures';
import {
  createConfigArchive,
  createConfigTransfer,
  type ConfigPiece,
  type FetchConfigParams,
} from '../../routingControl';
import type { RpcClient } from '../../rpc';
import { createConfigFetch } from '../configFetch';

const LOG = pino({ level: 'silent' });

const createName = (index: number): string =>
  createHash('sha512').update(String(index)).digest('base64');

const createNamed = (version: number, organisations: number): RoutingConfig =>
  createConfig(version, {
    services: [],
    organisations: Array.from({ length: organisations }, (_item, index) => ({
      name: createName(index),
      keys: [],
    })) as never,
  });

type Answer = (piece: ConfigPiece, call: number) => ConfigPiece;

interface Case {
  readonly name: string;
  /** Answers of the hosts, which differ from the right ones; absent hosts answer correctly. */
  readonly answers?: Readonly<Record<string, Answer>>;
  /** Outcomes of the calls to `fetch`. */
  readonly outcomes: readonly ('fetched' | 'failed')[];
  /** Pieces that were sent, at least and at most. */
  readonly pieces: readonly [number, number];
}

const WHOLE_PIECES = 6;

const refusePiece: Answer = () => {
  throw createError({ type: 'not_found', message: 'unknown configuration', step: 'test' });
};

const cases: readonly Case[] = [
  { name: 'piece by piece', outcomes: ['fetched'], pieces: [3, WHOLE_PIECES] },
  {
    name: 'a host that lags behind is passed over',
    answers: { first: refusePiece },
    outcomes: ['fetched'],
    pieces: [3, WHOLE_PIECES],
  },
  {
    name: 'after an interruption it goes on where it stopped',
    answers: {
      first: (piece, call) => (call === 3 ? refusePiece(piece, call) : piece),
      second: refusePiece,
    },
    outcomes: ['failed', 'fetched'],
    pieces: [3, WHOLE_PIECES],
  },
  {
    name: 'it begins again at a host that encodes the changes in another way',
    answers: {
      first: (piece, call) => (call > 2 ? refusePiece(piece, call) : { ...piece, id: 'other' }),
    },
    outcomes: ['fetched'],
    pieces: [4, WHOLE_PIECES + 2],
  },
  {
    name: 'an empty piece ends it',
    answers: { first: (piece) => ({ ...piece, data: '' }) },
    outcomes: ['failed'],
    pieces: [0, 1],
  },
  {
    name: 'a piece of another place ends it',
    answers: { first: (piece) => ({ ...piece, offset: piece.offset + 1 }) },
    outcomes: ['failed'],
    pieces: [0, 1],
  },
];

for (const { name, answers = {}, outcomes, pieces } of cases) {
  test(`fetch of a configuration: ${name}`, async (t) => {
    const archive = createConfigArchive();
    archive.add(createNamed(1, 3_000));
    const { id: wanted, config } = archive.findLatest()!;
    const transfer = createConfigTransfer({ archive, log: LOG });
    const calls: Record<string, number> = {};
    let sent = 0;
    const call = async (host: string, _method: string, params: FetchConfigParams) => {
      calls[host] = (calls[host] ?? 0) + 1;
      try {
        const piece = await transfer.readPiece(params);
        const answer = answers[host]?.(piece, calls[host]) ?? piece;
        sent += 1;
        return Right(answer);
      } catch (cause) {
        return Left(convertToRouterError(cause, 'test'));
      }
    };
    const fetch = createConfigFetch({ rpc: { call } as unknown as RpcClient, log: LOG });
    for (const outcome of outcomes) {
      const fetched = await fetch.fetch(['first', 'second'], wanted, undefined);
      t.is(fetched.isRight() ? 'fetched' : 'failed', outcome);
      fetched.ifRight((held) => t.deepEqual(held, { id: wanted, config }));
    }
    t.true(sent >= pieces[0] && sent <= pieces[1], `${sent} pieces`);
  });
}

test('fetch of a configuration: changes that do not apply are followed by the whole', async (t) => {
  const archive = createConfigArchive();
  archive.add(createNamed(1, 3));
  const { id } = archive.findLatest()!;
  archive.add({ ...createNamed(2, 0), organisations: archive.findLatest()!.config.organisations });
  const wanted = archive.findLatest()!;
  const transfer = createConfigTransfer({ archive, log: LOG });
  const call = async (_host: string, _method: string, params: FetchConfigParams) =>
    Right(await transfer.readPiece(params));
  const fetch = createConfigFetch({ rpc: { call } as unknown as RpcClient, log: LOG });
  const held = { id, config: createNamed(1, 0) };
  t.true((await fetch.fetch(['host'], wanted.id, held)).isLeft());
  const fetched = await fetch.fetch(['host'], wanted.id, held);
  t.deepEqual(fetched.unsafeCoerce().config, wanted.config);
});
