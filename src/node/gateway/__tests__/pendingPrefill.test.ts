import test from 'ava';
import type { EndpointLoad, ExchangeLoadAnswer } from '../../routingControl';
import { createError } from '../../errors';
import { createEndpointLoads } from '../endpointLoads';
import { createLoadTopic } from '../loadTopic';
import { computeWorkAhead } from '../pendingPrefill';
import { createPrefixCacheEstimates } from '../prefixCacheEstimates';
import { chooseQueuePosition } from '../queuePosition';

const createLoads = (peers: readonly Omit<EndpointLoad, 'endpoint' | 'running'>[] = []) => {
  const loads = createEndpointLoads();
  loads.updatePeerLoads(peers.map((peer) => ({ endpoint: 'e', running: 1, ...peer })));
  const add = (priority: number | undefined, prefillMs: number, sentAt = 0) =>
    loads.add('e', { sentAt, prefillMs, priority });
  const listAhead = (now: number): readonly number[] =>
    [0, 4, 5, 9].map((priority) => computeWorkAhead(loads.findTotal('e', now), priority));
  return { loads, add, listAhead };
};

test('pending prefill: only work of the same or a more urgent priority goes ahead', (t) => {
  const { add, listAhead } = createLoads();
  add(0, 100);
  add(5, 300);
  const late = add(9, 500);
  t.deepEqual(listAhead(0), [100, 100, 400, 900]);
  late.endPrefill();
  t.deepEqual(listAhead(0), [100, 100, 400, 400]);
});

// A prompt that others overtake is not done when its own time has passed.
test('pending prefill: elapsed time counts for the most urgent work first', (t) => {
  const { add, listAhead } = createLoads();
  add(5, 300);
  add(0, 200);
  t.deepEqual(listAhead(150), [50, 50, 350, 350]);
  t.deepEqual(listAhead(300), [20, 20, 220, 220]);
});

test('pending prefill: other gateways take their part of the elapsed time', (t) => {
  const { loads, add } = createLoads([{ readMs: 300, readMsByPriority: [0, 0, 0, 0, 0, 300] }]);
  add(5, 100);
  t.is(loads.listOwn(100)[0]!.readMs, 75);
});

// Guards against herding to endpoints whose work comes from gateways of an older version.
test('pending prefill: work whose priority is unknown counts as ahead', (t) => {
  const { add, listAhead } = createLoads([{ readMs: 400, readMsByPriority: [0, 100] }]);
  add(9, 50);
  t.deepEqual(listAhead(0), [300, 400, 400, 450]);
});

const createAnswer = (takesPriorities?: boolean): ExchangeLoadAnswer => ({
  loads: [],
  reads: [],
  cursor: { board: 'b', next: 0 },
  ...(takesPriorities === undefined ? {} : { takesPriorities }),
});

// A host of an older version refuses reports with fields that it does not know.
test('load topic: priorities are sent only to a host that takes them', (t) => {
  const { loads, add } = createLoads();
  add(1, 100.4);
  const cacheEstimates = createPrefixCacheEstimates(() => undefined);
  cacheEstimates.record('e', 'm', [{ id: 'p', tokens: 10 }]);
  const topic = createLoadTopic({
    loads,
    cacheEstimates,
    readNow: () => 0,
    handleUpdate: () => {},
    handleLoss: () => {},
  });
  const call = (host: string) => {
    const pending = topic.createReport(host)!;
    const [load] = pending.report.loads;
    return { ...pending, priorities: load!.readMsByPriority, reads: pending.report.reads.length };
  };
  const first = call('old');
  t.is(first.priorities, undefined);
  first.applyAnswer(createAnswer());
  t.is(call('old').priorities, undefined);
  call('new').applyAnswer(createAnswer(true));
  t.is(call('old').priorities, undefined);
  call('new').applyAnswer(createAnswer(true));
  cacheEstimates.record('e', 'm', [{ id: 'q', tokens: 10 }]);
  const refused = call('new');
  t.deepEqual(refused.priorities, [0, 100]);
  refused.handleFailure(
    createError({ type: 'invalid_request', message: 'unknown field', step: 'test' }),
  );
  const after = call('new');
  t.is(after.priorities, undefined, 'the host was replaced by an older one');
  t.is(after.reads, 1, 'the prompts of the refused report are sent again');
});

// Operators can turn priorities off; predictions then count all work, as engines go by arrival.
test('queue position: without priorities all pending work goes ahead', (t) => {
  const load = { readMs: 900, readMsByPriority: [100, 0, 0, 0, 0, 200, 0, 0, 0, 600] };
  const request = { rank: 0, timeLeftMs: 2_000 };
  t.deepEqual(chooseQueuePosition(load, request, 50), {
    priority: 5,
    queueMs: 300,
    displacedMs: 600,
  });
  t.deepEqual(chooseQueuePosition(load, request, 50, false), {
    priority: undefined,
    queueMs: 900,
    displacedMs: 0,
  });
});
