import test from 'ava';
import pino from 'pino';
import { Registry } from 'prom-client';
import { createGatewayMetrics } from '../gatewayMetrics';
import type { KnownSpeed } from '../serviceSpeeds';
import { createSpeedWatch } from '../speedWatch';

// A factor near the end of the range must not fill the log.
test('speed watch: a line for each endpoint that leaves the usual range or returns', async (t) => {
  const lines: { readonly msg: string; readonly factor: number }[] = [];
  const log = pino({}, { write: (line: string) => lines.push(JSON.parse(line) as never) });
  const registry = new Registry();
  let factors: readonly number[] = [];
  const listAll = (): readonly KnownSpeed[] =>
    factors.map((factor, index) => ({
      kind: 'decode',
      endpoint: `e-${index}|1`,
      factor,
      samples: 3,
      ageMs: 10,
    }));
  const watch = createSpeedWatch({
    speeds: { listAll },
    metrics: createGatewayMetrics(registry),
    log,
  });
  const logFor = (next: readonly number[]): readonly string[] => {
    factors = next;
    lines.length = 0;
    watch.logChanges(0);
    return lines.map(({ msg, factor }) => `${msg} ${factor}`);
  };
  t.deepEqual(logFor([1, 1.4, 0.7]), []);
  t.deepEqual(logFor([1, 1.6, 0.6]), [
    'endpoint differs in speed 1.6',
    'endpoint differs in speed 0.6',
  ]);
  t.deepEqual(logFor([1, 1.45, 0.7]), []);
  t.deepEqual(logFor([1, 1.2, 0.7]), ['endpoint is as fast as its pool again 1.2']);
  t.is(logFor(Array<number>(50).fill(3)).length, 10);
  watch.recordMetrics(0);
  t.regex(await registry.metrics(), /endpoint_time_factor_count\{kind="decode"\} 50/);
});
