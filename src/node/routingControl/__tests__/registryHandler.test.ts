import test from 'ava';
import { Left, Right } from 'purify-ts';
import { pino } from 'pino';
import { createError } from '../../errors';
import { createRegistry, type EndpointReport } from '../../registry';
import { createRegistryHandler } from '../registryHandler';

const REPORT: EndpointReport = {
  id: 'e-1',
  startedAt: 5,
  sequence: 1,
  service: 's',
  address: '10.0.0.1:1',
  zone: 'a',
  version: 'v1',
  slots: 4,
  state: 'ready',
  warmupMs: 0,
  models: [],
};

type PeerState = 'knows it' | 'does not know it' | 'does not answer';

interface Case {
  readonly name: string;
  readonly isKnownHere: boolean;
  readonly peers: readonly PeerState[];
  readonly outcome: string;
  /** States of the endpoint at the peers afterwards. */
  readonly states: readonly (string | undefined)[];
}

// A control host that had just started acknowledged leaves of endpoints that it did not know, and told
// nobody: gateways went on sending them requests until their reports had been missing.
const cases: readonly Case[] = [
  {
    name: 'known here',
    isKnownHere: true,
    peers: ['knows it', 'does not answer'],
    outcome: 'left',
    states: ['gone', undefined],
  },
  {
    name: 'known to another host only',
    isKnownHere: false,
    peers: ['does not know it', 'knows it'],
    outcome: 'left',
    states: [undefined, 'gone'],
  },
  {
    name: 'known to another host, while a third one does not answer',
    isKnownHere: false,
    peers: ['does not answer', 'knows it'],
    outcome: 'left',
    states: [undefined, 'gone'],
  },
  {
    name: 'known to no host',
    isKnownHere: false,
    peers: ['does not know it', 'does not know it'],
    outcome: 'unknown',
    states: [undefined, undefined],
  },
  {
    name: 'not known here, while another host does not answer',
    isKnownHere: false,
    peers: ['does not know it', 'does not answer'],
    outcome: 'unconfirmed',
    states: [undefined, undefined],
  },
];

const createHost = (isKnown: boolean, rpc: object, peers: readonly string[]) => {
  const registry = createRegistry({ reportTimeoutMs: 10_000, retentionMs: 10_000 });
  if (isKnown) registry.applyReport(REPORT, 0);
  const handler = createRegistryHandler({
    registry,
    rpc: rpc as never,
    log: pino({ level: 'silent' }),
    listPeers: () => peers,
    readNow: () => 1,
    readWallClock: () => 10,
  });
  return { registry, handler };
};

for (const { name, isKnownHere, peers, outcome, states } of cases) {
  test(`the leave of an endpoint reaches the hosts that know it: ${name}`, async (t) => {
    const others = peers.map((state) => createHost(state === 'knows it', {}, []));
    const call = async (peer: string, method: string, params: never) => {
      const index = Number(peer);
      if (peers[index] === 'does not answer') {
        return Left(createError({ type: 'unavailable', message: 'no answer', step: 'test' }));
      }
      const { handler } = others[index]!;
      if (method === 'registry.leave') return Right(handler.handlePeerLeave(params));
      const { report, hasLeft } = params as { report: EndpointReport; hasLeft: boolean };
      return Right(handler.handlePeerReport(report, hasLeft));
    };
    const { handler } = createHost(
      isKnownHere,
      { call },
      peers.map((_state, index) => `${index}`),
    );
    t.is(await handler.handleLeave('e-1', 5), outcome as never);
    t.deepEqual(
      others.map(({ registry }) => registry.find('e-1')?.state),
      [...states],
    );
  });
}
