import test from 'ava';
import { createSessionVersions, type SessionVersions } from '../sessionVersions';

const SESSION_MS = 5_000;
const RECORD = { service: 's', session: 'one', version: 'v1' };

const expireUntil = (sessions: SessionVersions, endAt: number): void => {
  for (let now = 0; now <= endAt; now += 500) sessions.expire(now);
};

const cases = [
  { name: 'a recent request', endedAt: 100, now: 5_000, version: 'v1' },
  { name: 'a request that ended too long ago', endedAt: 100, now: 5_200, version: undefined },
  {
    name: 'a request that runs longer than a session',
    endedAt: undefined,
    now: 9_000,
    version: 'v1',
  },
  { name: 'a long request that has just ended', endedAt: 9_000, now: 13_900, version: 'v1' },
  {
    name: 'a long request that ended too long ago',
    endedAt: 9_000,
    now: 14_100,
    version: undefined,
  },
] as const;

for (const { name, endedAt, now, version } of cases) {
  test(`session versions: ${name}`, (t) => {
    const sessions = createSessionVersions(SESSION_MS);
    const end = sessions.start(RECORD, 0);
    expireUntil(sessions, endedAt ?? now);
    if (endedAt !== undefined) end(endedAt);
    sessions.expire(now);
    t.is(sessions.find('s', 'one', now)?.version, version);
  });
}

test('session versions: the end of one request does not end a session with another one', (t) => {
  const sessions = createSessionVersions(SESSION_MS);
  const endFirst = sessions.start(RECORD, 0);
  sessions.start(RECORD, 0);
  endFirst(100);
  endFirst(200);
  t.is(sessions.find('s', 'one', 9_000)?.version, 'v1');
});

test('session versions: sessions in use are listed again', (t) => {
  const sessions = createSessionVersions(SESSION_MS);
  sessions.start(RECORD, 0);
  sessions.record({ ...RECORD, session: 'two' }, 0);
  const listRecent = (since: number) => sessions.listRecent(since).map(({ session }) => session);
  t.deepEqual(listRecent(0), ['one', 'two']);
  t.deepEqual(listRecent(1), []);
  sessions.expire(3_000);
  t.deepEqual(listRecent(1), ['one']);
  sessions.expire(6_000);
  t.deepEqual(listRecent(0), ['one'], 'the other session has ended');
});
