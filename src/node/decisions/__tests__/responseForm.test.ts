import test from 'ava';
import { chooseResponseForm, type ContentKind, type ResponseForm } from '../responseForm';

const rows: readonly (readonly [
  routeKind: 'once' | 'idempotent' | 'stream',
  method: string,
  status: number,
  contentKind: ContentKind,
  form: ResponseForm,
])[] = [
  ['stream', 'POST', 200, 'events', 'events'],
  ['stream', 'POST', 200, 'unknown', 'events'],
  ['stream', 'POST', 200, 'other', 'mismatch'],
  ['stream', 'GET', 200, 'unknown', 'events'],
  ['stream', 'HEAD', 200, 'other', 'body'],
  ['stream', 'POST', 204, 'unknown', 'body'],
  ['stream', 'POST', 307, 'other', 'body'],
  ['stream', 'POST', 400, 'events', 'body'],
  ['stream', 'POST', 500, 'unknown', 'body'],
  ['idempotent', 'GET', 200, 'events', 'events'],
  ['idempotent', 'GET', 200, 'unknown', 'body'],
  ['idempotent', 'GET', 200, 'other', 'body'],
  ['once', 'POST', 200, 'events', 'events'],
  ['once', 'POST', 200, 'unknown', 'body'],
  ['once', 'POST', 500, 'events', 'body'],
];

for (const [routeKind, method, status, contentKind, form] of rows) {
  test(`${method} on a route of kind ${routeKind}: status ${status} with content '${contentKind}' is read as '${form}'`, (t) => {
    t.is(chooseResponseForm({ routeKind, method, status, contentKind }), form);
  });
}
