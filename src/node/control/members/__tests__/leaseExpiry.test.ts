import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import { Right } from 'purify-ts';
import type { ControlContext } from '../..';
import { createRootLogger } from '../../../log';
import type { NodeRecord } from '../../configState';
import { createLeaseExpiry } from '../leaseExpiry';
import { createNodeTracker } from '../nodeTracker';

const LEASE_MS = 50;
const POLL_MS = 10;

const NODE: NodeRecord = {
  node: 'agent-1',
  role: 'agent',
  zone: 'zone-a',
  host: 'host-1',
  address: '127.0.0.1:1',
  bootId: 'boot-1',
  incarnation: 7,
  mayOverlap: false,
};

const createContext = (nodes: readonly NodeRecord[], expired: string[]): ControlContext =>
  ({
    config: {
      status: () => ({ term: 1 }),
      propose: async (command: { readonly node: string }) => {
        expired.push(command.node);
        return Right({ index: 1, term: 1, result: { type: 'done', revision: 1 } });
      },
    },
    configState: { listNodes: () => nodes },
    leaseMs: LEASE_MS,
    log: createRootLogger({ level: 'silent', node: 'control-1' }),
  }) as unknown as ControlContext;

test("a node that registers after the leader's grace period gets a full lease before it expires", async (t) => {
  const nodes: NodeRecord[] = [];
  const expired: string[] = [];
  const expiry = createLeaseExpiry(createContext(nodes, expired), createNodeTracker(), () => {});
  await expiry.run();
  while (performance.now() <= expiry.graceUntil() + LEASE_MS * 40) await sleep(POLL_MS);
  nodes.push(NODE);
  await expiry.run();
  t.deepEqual(expired, []);
  while (expired.length === 0) {
    await sleep(POLL_MS);
    await expiry.run();
  }
  t.deepEqual(expired, [NODE.node]);
});
