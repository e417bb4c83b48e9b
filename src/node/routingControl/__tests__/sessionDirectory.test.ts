import test from 'ava';
import { createSessionDirectory, type BoundSession, type SessionDirectory } from '..';

const SESSION_MS = 5_000;

const createSession = (session: string, version: string): BoundSession => ({
  service: 's',
  session,
  version,
});

const bind = (
  directory: SessionDirectory,
  now: number,
  recorded: readonly BoundSession[],
  claimed: readonly BoundSession[] = [],
) => directory.bind({ gateway: 'g', sessionMs: SESSION_MS, recorded, claimed }, now);

/** Sends reports twice a second, as gateways do. */
const sendReportsUntil = (directory: SessionDirectory, from: number, until: number): void => {
  for (let now = from; now <= until; now += 500) bind(directory, now, []);
};

const claims = [
  { name: 'of an unknown session is granted', recordedAt: undefined, now: 2_000, version: 'v2' },
  { name: 'of a known session returns its version', recordedAt: 1_000, now: 2_000, version: 'v1' },
  { name: 'of a session that has ended is granted', recordedAt: 0, now: 5_500, version: 'v2' },
] as const;

for (const { name, recordedAt, now, version } of claims) {
  test(`session directory: a claim ${name}`, (t) => {
    const directory = createSessionDirectory();
    sendReportsUntil(directory, 0, recordedAt ?? 0);
    if (recordedAt !== undefined) bind(directory, recordedAt, [createSession('one', 'v1')]);
    sendReportsUntil(directory, recordedAt ?? 0, now);
    const { bound } = bind(directory, now, [], [createSession('one', 'v2')]);
    t.deepEqual(bound, [createSession('one', version)]);
    const again = bind(directory, now, [], [createSession('one', 'v3')]);
    t.deepEqual(again.bound, [createSession('one', version)], 'the first claim counts');
  });
}

// A new leader has not had the sessions of all gateways yet, so it cannot tell which ones are new.
test('session directory: no claim is granted before all gateways can have reported', (t) => {
  const directory = createSessionDirectory('one');
  const claimed = [createSession('new', 'v2'), createSession('old', 'v2')];
  const first = bind(directory, 0, [createSession('old', 'v1')], claimed);
  t.deepEqual(first, {
    directory: 'one',
    bound: [createSession('old', 'v1')],
    isIncomplete: true,
  });
  sendReportsUntil(directory, 0, 1_000);
  t.false(bind(directory, 1_000, []).isIncomplete);
  t.true(bind(directory, 3_000, []).isIncomplete, 'after a pause the host has missed sessions');
});

test('session directory: the latest record of a session counts', (t) => {
  const directory = createSessionDirectory();
  bind(directory, 0, [createSession('one', 'v1')]);
  bind(directory, 100, [createSession('one', 'v2')]);
  const { bound } = bind(directory, 200, [], [createSession('one', 'v1')]);
  t.deepEqual(bound, [createSession('one', 'v2')]);
});

test('session directory: the number of sessions is bounded', (t) => {
  const directory = createSessionDirectory();
  bind(directory, 0, [createSession('first', 'v1')]);
  for (let round = 0; round < 20; round += 1) {
    const list = Array.from({ length: 1_000 }, (_item, index) =>
      createSession(`${round}-${index}`, 'v1'),
    );
    bind(directory, 0, list);
  }
  const { bound } = bind(directory, 0, [], [createSession('first', 'v2')]);
  t.deepEqual(bound, []);
});
