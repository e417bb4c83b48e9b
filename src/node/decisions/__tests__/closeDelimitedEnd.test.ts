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
  isPassedOn: false,
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
  { name: 'after events, passed on as it is', end: { isPassedOn: true }, verdict: 'complete' },
  {
    name: 'of a body whose endpoint does not say who it is, with another endpoint to ask',
    end: { process: 'unknown', isPassedOn: true, canRetry: true },
    verdict: 'doubtful',
  },
  {
    name: 'of a body whose endpoint does not say who it is, without another endpoint to ask',
    end: { process: 'unknown', isPassedOn: true },
    verdict: 'complete',
  },
  {
    name: 'of a body whose endpoint goes on, with another endpoint to ask',
    end: { isPassedOn: true, canRetry: true },
    verdict: 'complete',
  },
  {
    name: 'of an endpoint whose address has another process',
    end: { process: 'replaced', isPassedOn: true },
    verdict: 'lost',
  },
  {
    name: 'of an endpoint whose address has no process',
    end: { process: 'gone', hasContent: false, isRepeated: true },
    verdict: 'lost',
  },
  { name: 'before the first event', end: { hasContent: false }, verdict: 'empty' },
  {
    name: 'before the first event, passed on as it is',
    end: { hasContent: false, isPassedOn: true },
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
