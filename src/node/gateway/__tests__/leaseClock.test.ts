import test from 'ava';
import { createLeaseClock } from '../leaseClock';

const cases = [
  { name: 'both clocks run', monotonicMs: 1_000, wallMs: 1_000, elapsedMs: 1_000 },
  { name: 'the host was suspended', monotonicMs: 100, wallMs: 6_000, elapsedMs: 6_000 },
  { name: 'the wall clock jumped back', monotonicMs: 1_000, wallMs: -5_000, elapsedMs: 1_000 },
  { name: 'the wall clock jumped ahead', monotonicMs: 1_000, wallMs: 9_000, elapsedMs: 9_000 },
] as const;

for (const { name, monotonicMs, wallMs, elapsedMs } of cases) {
  test(`time since a lease was asked for: ${name}`, (t) => {
    let isLater = false;
    const clock = createLeaseClock(
      () => (isLater ? 50 + monotonicMs : 50),
      () => (isLater ? 70_000 + wallMs : 70_000),
    );
    const reading = clock.readClocks();
    isLater = true;
    t.is(clock.computeElapsedMs(reading), elapsedMs);
  });
}
