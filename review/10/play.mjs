// One status report of another writer, which names a service that no configuration names.
import { randomBytes } from 'node:crypto';
import { request } from 'node:http';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { fetchJson } from '../lib-2/http.mjs';
import { startRunner } from '../lib-2/runner.mjs';
import { createRecord, createSystem } from '../lib-2/system.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const REQUESTS = 60;
const REQUEST_GAP_MS = 400;
const TIME_LIMIT_MS = 1_500;

const record = createRecord(join(fileURLToPath(new URL('.', import.meta.url)), 'record.txt'));

const createRoute = (number) => ({
  name: `route-${number}`,
  host: 'shop.example',
  path_prefix: `/read-${number}/`,
  kind: 'safe',
  timeout_ms: 800,
  target_latency_ms: 150,
  priority: 0,
  service: `app-${number}`,
  max_attempts: 2,
  public: false,
});

const createConfig = (version, numbers) => ({
  version,
  routes: numbers.map(createRoute),
  services: numbers.map((number) => ({
    name: `app-${number}`,
    health_check_path: '/health',
    connection_limit: 110,
    protocol: 'h1',
  })),
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 4_194_304,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
  },
  tenants: [{ name: 'tenant-1', api_keys: ['key-1'], priority: 0 }],
});

const sendRequest = ({ host, port, number, requestId }) =>
  new Promise((done) => {
    const headers = {
      Host: 'shop.example',
      'X-Request-Id': requestId,
      'X-Api-Key': 'key-1',
      'X-Deadline-Milliseconds': String(TIME_LIMIT_MS),
    };
    const path = `/read-${number}/item`;
    const sent = request({ host, port, path, headers, agent: false }, (answer) => {
      const hasProof = answer.headers['x-response-signature'] !== undefined;
      answer.resume();
      answer.on('end', () => done({ status: answer.statusCode, hasProof }));
      answer.on('error', () => done({ status: 0, hasProof: false }));
    });
    sent.setTimeout(TIME_LIMIT_MS, () => sent.destroy(new Error('time limit')));
    sent.on('error', () => done({ status: 0, hasProof: false }));
    sent.end();
  });

const countServed = async (system, title) => {
  const served = { 1: 0, 2: 0 };
  for (let index = 0; index < REQUESTS; index += 1) {
    const [host] = system.gatewayHosts;
    const answers = await Promise.all(
      [1, 2].map(async (number) => {
        const requestId = `${title}-${number}-${index}`;
        const answer = await sendRequest({ host, port: system.ports.front, number, requestId });
        record(`client sent ${requestId}, got ${answer.status}`);
        return { number, isServed: answer.status === 200 && answer.hasProof };
      }),
    );
    answers
      .filter(({ isServed }) => isServed)
      .forEach(({ number }) => {
        served[number] += 1;
      });
    await sleep(REQUEST_GAP_MS);
  }
  record(`${title}: served ${served[1]} of ${REQUESTS} on route-1, ${served[2]} on route-2`);
  return served;
};

const sendOddReport = async (system, address) => {
  const body = {
    service: 'service-of-another-system',
    address,
    zone: 'zone-a',
    version: 'v1',
    slots: 6,
    state: 'ready',
    cold_remaining_ms: 0,
    sequence_number: 1,
    born: Date.now(),
  };
  const path = '/instances/i-of-another-system/heartbeat';
  const target = { host: system.controlHosts[0], port: system.ports.control };
  const { status } = await fetchJson({ ...target, method: 'POST', path, body });
  record(`another writer reported ${JSON.stringify(body)}, got ${status}`);
};

const startRunners = (system) =>
  Promise.all(
    [1, 2].map((number) =>
      startRunner({
        id: `i-runner-${number}`,
        host: system.otherHosts[number - 1],
        port: system.ports.app,
        service: `app-${number}`,
        controls: system.controlHosts,
        controlPort: system.ports.control,
        record,
        handle: ({ response, requestId }) => {
          response.writeHead(200, {
            'X-Request-Id': requestId,
            'X-Response-Signature': randomBytes(8).toString('hex'),
          });
          response.end('answer');
        },
      }),
    ),
  );

const runCase = async () => {
  const system = await createSystem({ controls: 3, gateways: 1, others: 2, record });
  let runners = [];
  try {
    [0, 1, 2].forEach((index) => system.start('control', index));
    system.start('entry', 0);
    await system.sendOrder('/configuration/replace', createConfig(1, [1]));
    record('version 1 with route-1 acknowledged');
    runners = await startRunners(system);
    await system.waitForReady(0);
    await sleep(5_000);
    await system.sendOrder('/configuration/replace', createConfig(2, [1, 2]));
    record('version 2, which adds route-2, acknowledged');
    await sleep(3_000);
    if (HAS_TROUBLE) await sendOddReport(system, `${system.otherHosts[1]}:${system.ports.app}`);
    await sleep(500);
    const served = await countServed(system, 'steady');
    // The steady-state clause of the rule: added routes are served a quarter as often at least.
    return served[2] >= served[1] / 4 ? 0 : 1;
  } finally {
    runners.forEach(({ stop }) => stop());
    await system.stop();
  }
};

runCase().then(
  (code) => {
    record(code === 0 ? 'held' : 'BROKEN: CONFIG, the added route is not served');
    process.exit(code);
  },
  (cause) => {
    record(`could not run: ${cause.stack}`);
    process.exit(2);
  },
);
