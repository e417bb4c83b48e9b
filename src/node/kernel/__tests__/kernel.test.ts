import test from 'ava';
import { createKernel, resolveStartOrder, type Service } from '..';

const createRecordedService = (
  name: string,
  needs: readonly string[],
  events: string[] = [],
): Service => ({
  name,
  dependencies: needs,
  start: () => {
    events.push(`start ${name}`);
    return {
      value: name,
      stop: () => {
        events.push(`stop ${name}`);
      },
    };
  },
});

const FAULTS = [
  {
    title: 'a missing dependency',
    services: [createRecordedService('a', ['b'])],
    message: "service 'a' depends on unknown service 'b'",
  },
  {
    title: 'a circular dependency',
    services: [
      createRecordedService('a', ['b']),
      createRecordedService('b', ['c']),
      createRecordedService('c', ['a']),
    ],
    message: 'circular dependency: a -> b -> c -> a',
  },
  {
    title: 'a duplicate name',
    services: [createRecordedService('a', []), createRecordedService('a', [])],
    message: 'two services have the same name',
  },
] as const;

for (const { title, services, message } of FAULTS) {
  test(`start order refuses ${title}`, (t) => {
    t.throws(() => resolveStartOrder(services), { message });
  });
}

test('services start in dependency order and stop in reverse order', async (t) => {
  const events: string[] = [];
  const list = [createRecordedService('c', ['b'], events), createRecordedService('a', [], events)];
  const kernel = createKernel([...list, createRecordedService('b', ['a'], events)]);
  await kernel.start();
  t.is(kernel.find('b'), 'b');
  await kernel.stop();
  t.deepEqual(events, ['start a', 'start b', 'start c', 'stop c', 'stop b', 'stop a']);
});

test('a failed start stops the services that had started', async (t) => {
  const events: string[] = [];
  const failing: Service = {
    name: 'bad',
    dependencies: ['a'],
    start: () => {
      throw new Error('no disk');
    },
  };
  const kernel = createKernel([createRecordedService('a', [], events), failing]);
  await t.throwsAsync(kernel.start(), { message: 'no disk' });
  t.deepEqual(events, ['start a', 'stop a']);
});
