import test from 'ava';
import { createViewStore, isMemberLive, isVersionWithdrawn, type Member, type ViewEntry } from '..';

const MEMBER: Member = {
  endpoint: 'e1',
  node: 'n1',
  address: '127.0.0.1:1',
  incarnation: 1,
  host: 'h1',
  zone: 'z1',
  serves: [{ model: 'small', version: 'v1' }],
  slots: 1,
  checksFencing: false,
  state: 'live',
};

const MODEL = {
  name: 'small',
  stableVersion: 'v1',
  versions: [
    { name: 'v1', state: 'active' },
    { name: 'v2', state: 'withdrawn' },
  ],
  inputCostPerThousand: 1,
  outputCostPerThousand: 1,
  priorQuality: 0.5,
  priorLatencyMs: 100,
} as const;

const createView = (entries: readonly Omit<ViewEntry, 'revision'>[]) => {
  const view = createViewStore();
  const revised = entries.map((entry) => ({ ...entry, revision: 1 }));
  view.apply({ type: 'snapshot', revision: 1, entries: revised });
  return view;
};

const LIVE_CASES = [
  { title: 'an endpoint that is not in the inventory', state: undefined, isLive: true },
  { title: 'an active endpoint', state: 'active', isLive: true },
  { title: 'an endpoint that is leaving by the inventory', state: 'leaving', isLive: false },
] as const;

for (const { title, state, isLive } of LIVE_CASES) {
  test(`${title} ${isLive ? 'gets' : 'does not get'} new work`, (t) => {
    const value = { name: 'e1', host: 'h1', state: state ?? 'active' } as const;
    const view = createView(state ? [{ kind: 'endpoint', name: 'e1', value }] : []);
    t.is(isMemberLive(view, MEMBER), isLive);
    t.false(isMemberLive(view, { ...MEMBER, state: 'leaving' }));
  });
}

const WITHDRAWAL = { model: 'small', version: 'v1', reason: 'bad' } as const;

const VERSION_CASES = [
  { title: 'an active version', version: 'v1', withdrawal: false, isWithdrawn: false },
  {
    title: 'a version with a withdrawal entry',
    version: 'v1',
    withdrawal: true,
    isWithdrawn: true,
  },
  {
    title: 'a version withdrawn in the inventory',
    version: 'v2',
    withdrawal: false,
    isWithdrawn: true,
  },
  { title: 'a version that does not exist', version: 'v3', withdrawal: false, isWithdrawn: true },
] as const;

for (const { title, version, withdrawal, isWithdrawn } of VERSION_CASES) {
  test(`${title} ${isWithdrawn ? 'gets no' : 'gets'} new work`, (t) => {
    const entries: Omit<ViewEntry, 'revision'>[] = [{ kind: 'model', name: 'small', value: MODEL }];
    if (withdrawal) entries.push({ kind: 'withdrawal', name: 'small@v1', value: WITHDRAWAL });
    t.is(isVersionWithdrawn(createView(entries), 'small', version), isWithdrawn);
  });
}
