// A runner fails part of the orders that it has run with 503, without the header of a refusal.
import { randomBytes } from 'node:crypto';
import { request } from 'node:http';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { startRunner } from '../lib-2/runner.mjs';
import { createRecord, createSystem } from '../lib-2/system.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const RUNNERS = 3;
const ORDERS = 60;
const ORDER_GAP_MS = 100;
const WORK_MS = 40;
/** Share of its orders that the failing runner fails, at most what the site names. */
const FAILING_SHARE = 0.45;
const TIME_LIMIT_MS = 1_500;
/** Statuses that promise that the request has not run and never will. */
const PROMISES = [408, 421, 429, 503];

const record = createRecord(join(fileURLToPath(new URL('.', import.meta.url)), 'record.txt'));

const createConfig = () => ({
  version: 1,
  routes: [
    {
      name: 'route-1',
      host: 'shop.example',
      path_prefix: '/orders/',
      kind: 'unsafe',
      timeout_ms: 800,
      target_latency_ms: 150,
      priority: 0,
      service: 'app',
      max_attempts: 1,
      public: false,
    },
  ],
  services: [{ name: 'app', health_check_path: '/health', connection_limit: 110, protocol: 'h1' }],
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 4_194_304,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
  },
  tenants: [{ name: 'tenant-1', api_keys: ['key-1'], priority: 0 }],
});

const sendOrder = ({ host, port, requestId, order }) =>
  new Promise((done) => {
    const body = JSON.stringify({ order });
    const headers = {
      Host: 'shop.example',
      'X-Request-Id': requestId,
      'X-Api-Key': 'key-1',
      'X-Deadline-Milliseconds': String(TIME_LIMIT_MS),
      'Content-Length': body.length,
    };
    const options = { host, port, method: 'POST', path: '/orders/new', headers, agent: false };
    const sent = request(options, (answer) => {
      answer.resume();
      answer.on('end', () => done(answer.statusCode));
      answer.on('error', () => done(0));
    });
    sent.setTimeout(TIME_LIMIT_MS, () => sent.destroy(new Error('time limit')));
    sent.on('error', () => done(0));
    sent.end(body);
  });

// Like a client of the pages: an order is sent again, once, only after a promise.
const placeOrder = async (system, order, answers) => {
  for (let attempt = 1; attempt <= 2; attempt += 1) {
    const requestId = `order-${order}-${attempt}`;
    const target = { host: system.gatewayHosts[0], port: system.ports.front };
    const status = await sendOrder({ ...target, requestId, order });
    answers.set(requestId, status);
    record(`client sent ${requestId}, got ${status}`);
    if (!PROMISES.includes(status)) return;
  }
};

const createHandler = (index, runs) => {
  const state = { orders: 0, failed: 0 };
  return async ({ response, requestId, body }) => {
    const { order } = JSON.parse(body.toString('utf8'));
    runs.push({ requestId, order });
    await sleep(WORK_MS);
    state.orders += 1;
    const isFailing =
      HAS_TROUBLE && index === 0 && state.failed + 1 <= FAILING_SHARE * state.orders;
    if (isFailing) state.failed += 1;
    record(`i-runner-${index} has run ${requestId}; answers ${isFailing ? 503 : 200}`);
    response.writeHead(isFailing ? 503 : 200, {
      'X-Request-Id': requestId,
      'X-Response-Signature': randomBytes(8).toString('hex'),
    });
    response.end(isFailing ? 'the order was stored, but its receipt was not' : 'stored');
  };
};

const runCase = async () => {
  const system = await createSystem({ controls: 3, gateways: 1, others: RUNNERS, record });
  const runs = [];
  const answers = new Map();
  let runners = [];
  try {
    [0, 1, 2].forEach((index) => system.start('control', index));
    system.start('entry', 0);
    await system.sendOrder('/configuration/replace', createConfig());
    runners = await Promise.all(
      system.otherHosts.map((host, index) =>
        startRunner({
          id: `i-runner-${index}`,
          host,
          port: system.ports.app,
          service: 'app',
          controls: system.controlHosts,
          controlPort: system.ports.control,
          record,
          handle: createHandler(index, runs),
        }),
      ),
    );
    await system.waitForReady(0);
    await sleep(4_000);
    const orders = Array.from({ length: ORDERS }, (_item, index) => index + 1);
    await Promise.all(
      orders.map(async (order) => {
        await sleep(order * ORDER_GAP_MS);
        await placeOrder(system, order, answers);
      }),
    );
    const broken = runs.filter(({ requestId }) => PROMISES.includes(answers.get(requestId)));
    const counts = orders.map((order) => runs.filter((run) => run.order === order).length);
    const twice = counts.filter((count) => count > 1).length;
    record(`${runs.length} runs of ${ORDERS} orders; ${twice} orders ran more than once`);
    record(`${broken.length} requests were answered with a promise although they had run`);
    return broken.length === 0 ? 0 : 1;
  } finally {
    runners.forEach(({ stop }) => stop());
    await system.stop();
  }
};

runCase().then(
  (code) => {
    record(code === 0 ? 'held' : 'BROKEN: REFUSED, requests that had run were refused');
    process.exit(code);
  },
  (cause) => {
    record(`could not run: ${cause.stack}`);
    process.exit(2);
  },
);
