import test from 'ava';
import {
  judgeCloseDelimitedEnd,
  type CloseDelimitedEnd,
  type EndVerdict,
} from '../closeDelimitedEnd';

const END: CloseDelimitedEnd = {
  process: 'same',
  hasContent: true,
  isRepeated: false,
  canConfirm: true,
  canRetry: false,
};

const cases: readonly {
  readonly name: string;
  readonly end: Partial<CloseDelimitedEnd>;
  readonly verdict: EndVerdict;
}[] = [
  { name: 'after events, of an endpoint that goes on', end: {}, verdict: 'unconfirmed' },
  {
    name: 'after events, of an endpoint that does not say who it is',
    end: { process: 'unknown' },
    verdict: 'unconfirmed',
  },
  {
    name: 'after events of a stream that cannot be resumed',
    end: { canConfirm: false },
    verdict: 'complete',
  },
  {
    name: 'of a body whose endpoint does not say who it is, with another endpoint to ask',
    end: { process: 'unknown', canConfirm: false, canRetry: true },
    verdict: 'doubtful',
  },
  {
    name: 'of a body whose endpoint does not say who it is, without another endpoint to ask',
    end: { process: 'unknown', canConfirm: false },
    verdict: 'complete',
  },
  {
    name: 'of a body whose endpoint goes on, with another endpoint to ask',
    end: { canConfirm: false, canRetry: true },
    verdict: 'complete',
  },
  {
    name: 'of an endpoint whose address has another process',
    end: { process: 'replaced', canConfirm: false },
    verdict: 'lost',
  },
  {
    name: 'of an endpoint whose address has no process',
    end: { process: 'gone', hasContent: false, isRepeated: true },
    verdict: 'lost',
  },
  { name: 'before the first event', end: { hasContent: false }, verdict: 'empty' },
  {
    name: 'before the first event of a stream that cannot be resumed',
    end: { hasContent: false, canConfirm: false },
    verdict: 'empty',
  },
  {
    name: 'before any event, where an earlier attempt ended after one',
    end: { hasContent: false, isRepeated: true },
    verdict: 'empty',
  },
  {
    name: 'after the same event as the end of an earlier attempt',
    end: { isRepeated: true },
    verdict: 'complete',
  },
  {
    name: 'after the same event, of an endpoint that does not say who it is',
    end: { isRepeated: true, process: 'unknown' },
    verdict: 'unconfirmed',
  },
  {
    name: 'after more events than an earlier attempt',
    end: { isRepeated: false },
    verdict: 'unconfirmed',
  },
];

for (const { name, end, verdict } of cases) {
  test(`the end of a close-delimited response ${name}`, (t) => {
    t.is(judgeCloseDelimitedEnd({ ...END, ...end }), verdict);
  });
}
