import test from 'ava';
import type { KnownEndpoint } from '../../registry';
import type { RolloutStage } from '../../routing';
import { listPoolEndpoints } from '../poolEndpoints';

const createEndpoint = (id: string, zone: string, version: string): KnownEndpoint => ({
  isReady: true,
  report: {
    id,
    zone,
    version,
    startedAt: 1,
    sequence: 1,
    service: 's',
    address: '127.0.0.1:1',
    slots: 8,
    state: 'ready',
    warmupMs: 0,
    models: [],
  },
});

const ENDPOINTS = [
  createEndpoint('a1', 'a', 'v1'),
  createEndpoint('b1', 'b', 'v1'),
  createEndpoint('a2', 'a', 'v2'),
];

interface Row {
  readonly name: string;
  readonly stage?: RolloutStage;
  readonly evacuated?: readonly string[];
  readonly listed: readonly string[];
}

// Guards against a pool that looks half empty because endpoints without traffic are counted in it.
const rows: readonly Row[] = [
  { name: 'no roll-out', listed: ['a1', 'b1', 'a2'] },
  { name: 'a canary', stage: 'canary', listed: ['a1', 'b1'] },
  { name: 'an early stage', stage: 'early', listed: ['a1', 'b1'] },
  { name: 'both versions share the traffic', stage: 'ramp', listed: ['a1', 'b1', 'a2'] },
  { name: 'a new version with all traffic', stage: 'full', listed: ['a2'] },
  { name: 'a completed roll-out', stage: 'completed', listed: ['a2'] },
  { name: 'a roll-back', stage: 'rolledBack', listed: ['a1', 'b1'] },
  { name: 'an evacuated zone', evacuated: ['a'], listed: ['b1'] },
  {
    name: 'an evacuated zone with all endpoints of the new version',
    stage: 'full',
    evacuated: ['a'],
    listed: ['b1'],
  },
];

for (const { name, stage, evacuated = [], listed } of rows) {
  test(`endpoints of a pool: ${name}`, (t) => {
    const rollout = stage && { service: 's', target: 'v2', durationMs: 1_000, stage };
    const snapshot = { rollouts: rollout ? [rollout] : [], evacuatedZones: new Set(evacuated) };
    const found = listPoolEndpoints(snapshot, 's', ENDPOINTS);
    t.deepEqual(
      found.map(({ report }) => report.id),
      listed,
    );
  });
}
