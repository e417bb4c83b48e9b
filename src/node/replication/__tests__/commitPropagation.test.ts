import test from 'ava';
import { createCore, type Core, type Member, type Message } from '../core';

const NAMES = ['a', 'b', 'c'] as const;
const MEMBERS: readonly Member[] = NAMES.map((name) => ({
  node: name,
  store: name,
  address: name,
  role: 'voter',
}));
const TICKS_LIMIT = 200;

const createMember = (name: string): Core =>
  createCore({
    self: { node: name, address: name },
    peers: NAMES.map((node) => ({ node, address: node })),
    initial: {
      identity: { store: name, groupId: 'group', members: MEMBERS, canForm: true },
      hardState: { term: 0, vote: '' },
      snapshot: { index: 0, term: 0, members: [], size: 0 },
      entries: [],
    },
    random: () => 0.5,
    createGroupId: () => 'group',
  });

// Runs the ready work of a member, as if its disk synced immediately. Returns its messages.
const runMember = (core: Core): readonly Message[] => {
  const sent: Message[] = [];
  for (let ready = core.takeReady(); ready; ready = core.takeReady()) {
    sent.push(...ready.messagesBeforeSync, ...ready.messagesAfterSync);
    core.handleSynced(ready.synced);
  }
  return sent;
};

const createGroup = () => {
  const cores = new Map(NAMES.map((name) => [name as string, createMember(name)]));
  const send = (messages: readonly Message[]): readonly Message[] =>
    messages.flatMap((message) => {
      const core = cores.get(message.to.address)!;
      core.receive(message);
      return runMember(core);
    });
  const sendAll = (messages: readonly Message[]): void => {
    for (let waiting = messages; waiting.length > 0;) waiting = send(waiting);
  };
  return { find: (name: string) => cores.get(name)!, send, sendAll };
};

const listFor = (messages: readonly Message[], name: string): readonly Message[] =>
  messages.filter((message) => message.to.address === name);

test('a member that answers after the commit receives the commit index without a heartbeat', (t) => {
  const { find, send, sendAll } = createGroup();
  const leader = find('a');
  for (let tick = 0; leader.status().role !== 'leader' && tick < TICKS_LIMIT; tick += 1) {
    leader.tick();
    sendAll(runMember(leader));
  }
  t.is(leader.status().role, 'leader');
  leader.propose([{ id: 'p-1', base: 0, data: '1' }]);
  const sent = runMember(leader);
  const answersOfB = send(listFor(sent, 'b'));
  const answersOfC = send(listFor(sent, 'c'));
  // The leader commits at the first answer, while the second one is in transit.
  const afterFirst = send(answersOfB);
  const afterSecond = send(answersOfC);
  sendAll([...afterFirst, ...afterSecond]);
  const { commit } = leader.status();
  t.is(commit, leader.status().lastIndex);
  t.is(find('b').status().commit, commit);
  t.is(find('c').status().commit, commit);
});
