import test from 'ava';
import { createEndpointLoads } from '../endpointLoads';
import { readPoolLoad } from '../poolLoad';

const ENGINES = ['e-0', 'e-1'];
const PLAIN = ['p-0', 'p-1'];

const createRegistry = () => ({
  listEndpoints: (service?: string) =>
    (service === 'engines' ? ENGINES : PLAIN).map((id) => ({
      isReady: true,
      report: {
        id,
        startedAt: 1,
        sequence: 1,
        service: service ?? '',
        address: '10.0.0.1:1',
        zone: 'a',
        version: 'v1',
        slots: 8,
        state: 'ready' as const,
        warmupMs: 0,
        models: [],
      },
    })),
});

// Guards against a pool whose pending work, by which requests are admitted, takes up work of other
// services or loses some of its own as the reports of the other gateways become old.
for (const ageMs of [0, 800, 950]) {
  test(`the pending work of a pool is the reported total after ${ageMs} ms`, (t) => {
    const loads = createEndpointLoads();
    loads.updatePeerLoads(
      [
        ...ENGINES.map((endpoint, index) => {
          const readMs = 1_000 * (index + 1);
          return { endpoint, running: 2, readMs, readMsByPriority: [0, 400, 600 + 1_000 * index] };
        }),
        ...PLAIN.map((endpoint) => ({ endpoint, running: 1, readMs: 0 })),
      ],
      0,
    );
    loads.add('e-0', { sentAt: ageMs, prefillMs: 300, priority: 4 });
    loads.add('e-1', { sentAt: ageMs, prefillMs: 500, priority: 5 });
    const options = { registry: createRegistry(), loads };
    const peers = { ageMs, gatewayCount: 20 };
    const engines = readPoolLoad(options, 'engines', peers, ageMs);
    t.is(engines.pendingMs, (1_000 + 2_000 + 300 + 500) / 2);
    t.is(engines.takenFraction, 6 / 16);
    t.is(readPoolLoad(options, 'plain', peers, ageMs).pendingMs, 0);
  });
}
