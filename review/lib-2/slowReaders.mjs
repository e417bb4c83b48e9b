// A planned stop of a gateway while some clients read their answers slowly.
import { createHash, randomBytes } from 'node:crypto';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { startRunner } from './runner.mjs';
import { createSystem } from './system.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const BODY_BYTES = 4_190_000;
/** The client is busy with other work for this long before it reads its answer. */
const BUSY_MS = 1_500;
const CLIENTS = 8;
const STOP_AFTER_MS = 200;
const TIME_LIMIT_MS = 12_000;
const GRACE_MS = 8_000;

const answerBody = randomBytes(BODY_BYTES);
const digest = createHash('sha256').update(answerBody).digest('hex');

const createConfig = () => ({
  version: 1,
  routes: [
    {
      name: 'route-1',
      host: 'shop.example',
      path_prefix: '/read/',
      kind: 'safe',
      timeout_ms: TIME_LIMIT_MS,
      target_latency_ms: 4_000,
      priority: 0,
      service: 'app',
      max_attempts: 2,
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

// Sends a request, and reads the answer only after a while.
const readSlowly = ({ host, port, requestId }) =>
  new Promise((done) => {
    const socket = connect({ host, port, highWaterMark: 16_384 });
    const chunks = [];
    const sentAt = performance.now();
    let head;
    let bodyBytes = 0;
    let failure = '';
    const settle = (why) => {
      socket.destroy();
      const seconds = ((performance.now() - sentAt) / 1_000).toFixed(2);
      done({ head, body: Buffer.concat(chunks), why, failure, seconds });
    };
    const reader = setTimeout(() => socket.resume(), BUSY_MS);
    const limit = setTimeout(() => settle('time limit'), TIME_LIMIT_MS);
    socket.on('close', () => {
      clearTimeout(reader);
      clearTimeout(limit);
      settle(failure === '' ? 'close' : failure);
    });
    socket.on('error', (cause) => {
      failure = cause.code;
    });
    socket.on('data', (chunk) => {
      chunks.push(chunk);
      if (head === undefined) {
        const text = Buffer.concat(chunks);
        const end = text.indexOf('\r\n\r\n');
        if (end < 0) return;
        head = text.subarray(0, end).toString('latin1');
        chunks.splice(0, chunks.length, text.subarray(end + 4));
        bodyBytes = text.length - end - 4;
      } else bodyBytes += chunk.length;
      const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? NaN);
      if (bodyBytes >= length) settle('length reached');
    });
    socket.pause();
    socket.write(
      [
        'GET /read/1 HTTP/1.1',
        'Host: shop.example',
        `X-Request-Id: ${requestId}`,
        'X-Api-Key: key-1',
        `X-Deadline-Milliseconds: ${TIME_LIMIT_MS}`,
        '',
        '',
      ].join('\r\n'),
    );
  });

const createHandler =
  ({ record, hasLength }) =>
  ({ response, requestId }) => {
    response.useChunkedEncodingByDefault = false;
    response.writeHead(200, {
      'X-Request-Id': requestId,
      'X-Response-Signature': digest.slice(0, 16),
      ...(hasLength ? { 'Content-Length': BODY_BYTES } : { Connection: 'close' }),
    });
    response.end(answerBody, () => record(`i-runner-1 has answered ${requestId}`));
  };

// An answer without a length is complete when its channel is closed without a reset.
const judgeAnswer = ({ head, body, why }) => {
  const isWhole = createHash('sha256').update(body).digest('hex') === digest;
  const status = head?.split('\r\n')[0] ?? 'no head';
  const hasLength = /content-length:/i.test(head ?? '');
  const looksComplete = why === (hasLength ? 'length reached' : 'close');
  return { isWhole, status, looksComplete };
};

const judgeAnswers = (answers, record) => {
  const judged = answers.map((answer) => ({ ...answer, ...judgeAnswer(answer) }));
  judged.forEach(({ body, why, seconds, isWhole, status, looksComplete }, index) => {
    const facts = `${status}; ${body.length} of ${BODY_BYTES} bytes of the body; '${why}' after ${seconds} s`;
    record(`client ${index + 1}: ${facts}; whole: ${isWhole}, looks complete: ${looksComplete}`);
  });
  const cut = judged.filter(({ isWhole }) => !isWhole);
  const wrong = cut.filter(({ looksComplete }) => looksComplete);
  record(`${cut.length} of ${CLIENTS} channels ended without the whole answer`);
  record(`${wrong.length} of ${CLIENTS} clients got a part of the answer that looks complete`);
  return { cut: cut.length, wrong: wrong.length };
};

/**
 * Stops a gateway while clients read their answers, which the runner sends with or without a length.
 * Resolves to the numbers of answers that were cut, and that were cut and look complete.
 */
export const runSlowReaders = async ({ record, hasLength }) => {
  const system = await createSystem({ controls: 3, gateways: 1, others: 1, record });
  let runner;
  try {
    [0, 1, 2].forEach((index) => system.start('control', index));
    const gateway = system.start('entry', 0);
    await system.sendOrder('/configuration/replace', createConfig());
    record('configuration acknowledged');
    runner = await startRunner({
      id: 'i-runner-1',
      host: system.otherHosts[0],
      port: system.ports.app,
      service: 'app',
      controls: system.controlHosts,
      controlPort: system.ports.control,
      record,
      handle: createHandler({ record, hasLength }),
    });
    await system.waitForReady(0);
    await sleep(5_000);
    const target = { host: system.gatewayHosts[0], port: system.ports.front };
    record(`${CLIENTS} clients send a request each to the gateway`);
    const readings = Array.from({ length: CLIENTS }, (_item, index) =>
      readSlowly({ ...target, requestId: `request-${index + 1}` }),
    );
    await sleep(STOP_AFTER_MS);
    const signalledAt = performance.now();
    if (HAS_TROUBLE) {
      record('gateway gets SIGTERM (planned stop)');
      gateway.child.kill('SIGTERM');
    }
    const counts = judgeAnswers(await Promise.all(readings), record);
    const answeredMs = Math.round(performance.now() - signalledAt);
    record(`all channels ended ${answeredMs} ms after that; the grace period is ${GRACE_MS} ms`);
    return counts;
  } finally {
    runner?.stop();
    await system.stop();
  }
};
