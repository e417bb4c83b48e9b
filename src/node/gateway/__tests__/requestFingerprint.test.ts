import test from 'ava';
import { computeFingerprint, type RequestIdentity } from '../requestFingerprint';

const BASE: RequestIdentity = {
  method: 'POST',
  path: '/a/b?c=d',
  organisation: 'o-1',
  lastBlock: 'b-1',
  body: Buffer.from('body'),
};

const cases: readonly { readonly name: string; readonly change: Partial<RequestIdentity> }[] = [
  { name: 'another method', change: { method: 'PUT' } },
  { name: 'another path', change: { path: '/a/b' } },
  { name: 'another organisation', change: { organisation: 'o-2' } },
  { name: 'no organisation', change: { organisation: undefined } },
  { name: 'another last prompt block', change: { lastBlock: 'b-2' } },
  { name: 'no prompt block', change: { lastBlock: undefined } },
  { name: 'another body', change: { body: Buffer.from('Body') } },
  { name: 'no body', change: { body: Buffer.alloc(0) } },
  {
    name: 'the end of the path in the body',
    change: { path: '/a/b', body: Buffer.from('?c=dbody') },
  },
];

for (const { name, change } of cases) {
  test(`request fingerprint: ${name} makes another request`, (t) => {
    t.not(computeFingerprint({ ...BASE, ...change }), computeFingerprint(BASE));
  });
}

test('request fingerprint: the same request has the same fingerprint', (t) => {
  const body = Buffer.from('body');
  t.is(computeFingerprint({ ...BASE, body }), computeFingerprint(BASE));
});
