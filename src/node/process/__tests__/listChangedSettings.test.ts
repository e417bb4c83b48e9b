import test from 'ava';
import { listChangedSettings } from '../listChangedSettings';

const SETTINGS = {
  node: 'n',
  bounds: { graceMs: 8_000, leaseMs: 4_000 },
  controlHosts: ['a', 'b'],
};

const cases = [
  { name: 'nothing', after: SETTINGS, changed: [] },
  {
    name: 'a bound',
    after: { ...SETTINGS, bounds: { ...SETTINGS.bounds, leaseMs: 5_000 } },
    changed: ['bounds.leaseMs'],
  },
  { name: 'a list', after: { ...SETTINGS, controlHosts: ['a', 'c'] }, changed: ['controlHosts'] },
  { name: 'a new table', after: { ...SETTINGS, control: { data: '/d' } }, changed: ['control'] },
  {
    name: 'a removed table',
    after: { node: 'n', controlHosts: ['a', 'b'] },
    changed: ['bounds'],
  },
] as const;

for (const { name, after, changed } of cases) {
  test(`changed settings: ${name}`, (t) => {
    t.deepEqual(listChangedSettings(SETTINGS, after), changed);
  });
}
