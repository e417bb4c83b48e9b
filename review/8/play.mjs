// A gateway is killed while it passes on streams, some of which end with their channels.
import { connect } from 'node:net';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { startRunner } from '../lib-2/runner.mjs';
import { createRecord, createSystem } from '../lib-2/system.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const RUNNERS = 2;
/** One gateway of five is killed; the streams at the others go on. */
const GATEWAYS = 5;
const STREAMS = 160;
const STREAMS_AT_KILLED = 80;
/** One runner of two sends one answer in twenty without a length or chunks. */
const UNFRAMED_EVERY = 20;
const EVENTS = 24;
const EVENT_GAP_MS = 200;
const KILL_AFTER_MS = 2_500;
const TIME_LIMIT_MS = 12_000;

const record = createRecord(join(fileURLToPath(new URL('.', import.meta.url)), 'record.txt'));

const createConfig = () => ({
  version: 1,
  routes: [
    {
      name: 'route-1',
      host: 'shop.example',
      path_prefix: '/draft/',
      kind: 'streaming',
      timeout_ms: TIME_LIMIT_MS,
      target_latency_ms: 3_000,
      gap_target_ms: 1_500,
      priority: 0,
      service: 'app',
      max_attempts: 1,
      public: false,
      resume_streams: false,
    },
  ],
  services: [{ name: 'app', health_check_path: '/health', connection_limit: 370, protocol: 'h1' }],
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 4_194_304,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
  },
  tenants: [{ name: 'tenant-1', api_keys: ['key-1'], priority: 0 }],
});

const createHandler = (index) => {
  const state = { answers: 0 };
  return async ({ response, requestId }) => {
    state.answers += 1;
    const isUnframed = index === 0 && state.answers % UNFRAMED_EVERY === 0;
    record(`i-runner-${index} answers ${requestId} ${isUnframed ? 'without chunks' : 'in chunks'}`);
    if (isUnframed) response.useChunkedEncodingByDefault = false;
    response.writeHead(200, {
      'Content-Type': 'text/event-stream',
      'X-Request-Id': requestId,
      'X-Response-Signature': `proof-of-${requestId}`,
      ...(isUnframed && { Connection: 'close' }),
    });
    for (let id = 1; id <= EVENTS && !response.destroyed; id += 1) {
      response.write(`id: ${id}\ndata: piece ${id} of ${EVENTS}\n\n`);
      await sleep(EVENT_GAP_MS);
    }
    response.end();
  };
};

// Reads a stream as it comes, and tells whether its end looks like that of a complete answer.
const readStream = ({ host, port, requestId }) =>
  new Promise((done) => {
    const socket = connect({ host, port });
    const state = { text: '', failure: '' };
    const settle = () => {
      const [head = '', ...rest] = state.text.split('\r\n\r\n');
      const body = rest.join('\r\n\r\n');
      const ids = [...body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
      const isChunked = /transfer-encoding: chunked/i.test(head);
      const endsWell = isChunked ? state.text.endsWith('0\r\n\r\n') : body.endsWith('\n\n');
      const isSuccess = head.startsWith('HTTP/1.1 200') && /x-response-signature/i.test(head);
      const looksComplete = isSuccess && endsWell && state.failure === '';
      done({ requestId, isChunked, events: ids.length, looksComplete, failure: state.failure });
    };
    socket.setTimeout(TIME_LIMIT_MS, () => socket.destroy(new Error('time limit')));
    socket.on('data', (chunk) => {
      state.text += chunk.toString('latin1');
      if (state.text.endsWith('0\r\n\r\n')) socket.destroy();
    });
    socket.on('error', (cause) => {
      state.failure = cause.code ?? cause.message;
    });
    socket.on('close', settle);
    socket.write(
      [
        'POST /draft/1 HTTP/1.1',
        'Host: shop.example',
        `X-Request-Id: ${requestId}`,
        'X-Api-Key: key-1',
        `X-Deadline-Milliseconds: ${TIME_LIMIT_MS}`,
        'Content-Length: 2',
        '',
        '{}',
      ].join('\r\n'),
    );
  });

const startRunners = (system) =>
  Promise.all(
    system.otherHosts.map((host, index) =>
      startRunner({
        id: `i-runner-${index}`,
        host,
        port: system.ports.app,
        service: 'app',
        slots: 64,
        controls: system.controlHosts,
        controlPort: system.ports.control,
        record,
        handle: createHandler(index),
      }),
    ),
  );

const runCase = async () => {
  const system = await createSystem({ controls: 3, gateways: GATEWAYS, others: RUNNERS, record });
  let runners = [];
  try {
    [0, 1, 2].forEach((index) => system.start('control', index));
    const [gateway] = [0, 1, 2, 3, 4].map((index) => system.start('entry', index));
    await system.sendOrder('/configuration/replace', createConfig());
    runners = await startRunners(system);
    await Promise.all([0, 1, 2, 3, 4].map((index) => system.waitForReady(index)));
    await sleep(4_000);
    const chooseHost = (index) =>
      system.gatewayHosts[index < STREAMS_AT_KILLED ? 0 : 1 + (index % (GATEWAYS - 1))];
    record(`${STREAMS} clients ask for a stream each`);
    const readings = Array.from({ length: STREAMS }, (_item, index) =>
      readStream({
        host: chooseHost(index),
        port: system.ports.front,
        requestId: `request-${index + 1}`,
      }),
    );
    await sleep(KILL_AFTER_MS);
    if (HAS_TROUBLE) {
      record('gateway gets SIGKILL');
      gateway.child.kill('SIGKILL');
    }
    const streams = await Promise.all(readings);
    streams.forEach(({ requestId, isChunked, events, looksComplete, failure }) => {
      const form = isChunked ? 'in chunks' : 'ends with its channel';
      const end = looksComplete ? 'as if complete' : `broken off ${failure}`;
      record(`client of ${requestId}: ${events} of ${EVENTS} pieces, ${form}, ended ${end}`);
    });
    const wrong = streams.filter(({ events, looksComplete }) => looksComplete && events < EVENTS);
    const whole = streams.filter(({ events }) => events === EVENTS);
    record(`${whole.length} of ${STREAMS} streams came whole`);
    record(`${wrong.length} of ${STREAMS} streams ended as complete before their last piece`);
    return wrong.length === 0 ? 0 : 1;
  } finally {
    runners.forEach(({ stop }) => stop());
    await system.stop();
  }
};

runCase().then(
  (code) => {
    record(
      code === 0 ? 'held' : 'BROKEN: ORDER, streams ended as complete before their last piece',
    );
    process.exit(code);
  },
  (cause) => {
    record(`could not run: ${cause.stack}`);
    process.exit(2);
  },
);
