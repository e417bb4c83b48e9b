// A control host is frozen with the order of a roll-out in its socket, and wakes after a later order.
import { readFileSync, writeFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { callControl, send, startRunner, waitUntil } from '../lib/http.mjs';
import { HEARTBEAT_MS, createSystem } from '../lib/system.mjs';

const HELD = 0;
const BROKEN = 1;
const FAILED = 2;

const hasTrouble = process.env.TROUBLE !== '0';
const folder = dirname(fileURLToPath(import.meta.url));

const CORES = [0, 1, 2];
/** Longest freeze of a control host in the site file, in milliseconds. */
const FREEZE_MS = 6900;
const ORDER_TIMEOUT_MS = 1000;
const REQUEST_PAUSE_MS = 12;
const DURATION_S = 12;
const DOWN_MS = 700;
/** `recovery_s` and a little more. */
const RECOVERY_MS = 13_000;

const createConfig = () => ({
  version: 1,
  routes: [
    {
      name: 'r-1',
      host: 'shop.example',
      path_prefix: '/a/',
      kind: 'safe',
      timeout_ms: 1500,
      target_latency_ms: 193,
      priority: 0,
      service: 'app',
      max_attempts: 3,
      public: true,
      sticky_sessions: false,
      resume_streams: false,
    },
  ],
  services: [
    {
      name: 'app',
      health_check_path: '/health',
      connection_limit: 110,
      protocol: 'h1',
      tls: false,
    },
  ],
  limits: {
    max_header_bytes: 16384,
    max_body_bytes: 4194304,
    header_timeout_ms: 3000,
    idle_timeout_ms: 15000,
  },
  tenants: [],
});

const findLeader = (system) =>
  CORES.find((index) => {
    const text = readFileSync(join(system.folder, `core-${index}.log`), 'utf8');
    const last = text.split('\n').findLast((line) => line.includes('role changed'));
    return last !== undefined && JSON.parse(last).role === 'leader';
  });

const sendFailure = (request, response) => {
  response.statusCode = 500;
  response.setHeader('X-Response-Signature', `sig-${request.headers['x-request-id']}`);
  setTimeout(() => response.end('failed'), 20);
};

const runCase = async (system) => {
  const { coreHosts, frontHosts, frontPort, readyPort, controlPort, record } = system;
  CORES.forEach((index) => system.startCore(index));
  system.startFront(0);
  const put = await callControl(system, {
    method: 'POST',
    path: '/configuration/replace',
    body: JSON.stringify(createConfig()),
  });
  record(`config 1 acknowledged: ${put.status}`);
  if (put.status !== 200) return FAILED;
  const start = (version, number, answer) =>
    startRunner(system, {
      id: `i-${version}-${number}`,
      host: `${system.net}.${100 + 10 * Number(version.slice(1)) + number}`,
      service: 'app',
      zone: 'z-a',
      intervalMs: HEARTBEAT_MS,
      chooseHost: () => coreHosts[number % coreHosts.length],
      report: { version },
      answer,
    });
  const runners = await Promise.all([0, 1, 2].map((number) => start('v1', number)));
  const isReady = await waitUntil(
    async () =>
      (await send({ host: frontHosts[0], port: readyPort, path: '/readiness' })).status === 200,
    15_000,
  );
  if (!isReady) return FAILED;
  let isSending = true;
  let sent = 0;
  const sendAll = async () => {
    while (isSending) {
      sent += 1;
      const id = `q-${sent}`;
      send({
        host: frontHosts[0],
        port: frontPort,
        path: '/a/b',
        headers: { host: 'shop.example', 'X-Request-Id': id, 'X-Deadline-Milliseconds': '1500' },
        timeoutMs: 2000,
      }).then(({ status }) => record(`client gets ${status} for ${id}`));
      await sleep(REQUEST_PAUSE_MS);
    }
  };
  const sending = sendAll();
  await sleep(2000);

  const leader = findLeader(system);
  const frozen = CORES.find((index) => index !== leader);
  const others = CORES.filter((index) => index !== frozen);
  record(`leader is core-${leader}; the first order goes to core-${frozen}`);

  // The operator gives an order to one node, and after a second without an answer to the next one.
  const sendOrder = async (target, indexes) => {
    const body = JSON.stringify({ service: 'app', target, duration_s: DURATION_S });
    for (const index of indexes) {
      const { status } = await send({
        host: coreHosts[index],
        port: controlPort,
        method: 'POST',
        path: '/rollouts/start',
        headers: { 'content-type': 'application/json' },
        body,
        timeoutMs: ORDER_TIMEOUT_MS,
      });
      record(`order of ${target} at core-${index}: ${status}`);
      if (status === 200) return true;
    }
    return false;
  };
  const readState = async (indexes) => {
    for (const index of indexes) {
      const host = coreHosts[index];
      const answer = await send({ host, port: controlPort, path: '/rollouts/app/get' });
      if (answer.status === 200) return JSON.parse(answer.text);
    }
    return undefined;
  };

  runners.push(...(await Promise.all([0, 1].map((number) => start('v2', number, sendFailure)))));
  const frozenAt = performance.now();
  if (hasTrouble) system.sendSignal(`core-${frozen}`, 'SIGSTOP');
  if (!(await sendOrder('v2', [frozen, ...others]))) return FAILED;
  const isRolledBack = await waitUntil(
    async () => (await readState(others))?.state === 'rolled_back',
    FREEZE_MS - 2200,
  );
  record(`v2 is rolled back: ${isRolledBack}`);
  if (!isRolledBack) return FAILED;
  runners.push(...(await Promise.all([0, 1].map((number) => start('v3', number)))));
  if (!(await sendOrder('v3', others))) return FAILED;
  record(`after the order of v3: ${JSON.stringify(await readState(others))}`);
  await sleep(Math.max(0, FREEZE_MS - (performance.now() - frozenAt)));
  if (hasTrouble) system.sendSignal(`core-${frozen}`, 'SIGCONT');
  await sleep(3000);
  record(`3 s later: ${JSON.stringify(await readState(CORES))}`);

  // The final fault: all processes of the core are killed, and are back within a second.
  CORES.forEach((index) => system.sendSignal(`core-${index}`, 'SIGKILL'));
  await Promise.all(CORES.map((index) => system.waitForEnd(`core-${index}`)));
  await sleep(DOWN_MS);
  CORES.forEach((index) => system.startCore(index, false));
  let state;
  await waitUntil(async () => {
    state = await readState(CORES);
    return state !== undefined;
  }, RECOVERY_MS);
  record(`after the final fault: ${JSON.stringify(state)}`);
  isSending = false;
  await sending;
  await sleep(500);
  runners.forEach(({ close }) => close());
  return state?.target === 'v3' ? HELD : BROKEN;
};

const system = await createSystem({ cores: 3, fronts: 1 });
let result = FAILED;
try {
  result = await runCase(system);
} catch (cause) {
  system.record(`the script failed: ${cause.stack}`);
} finally {
  await system.stop();
  system.record(`result ${result} (trouble: ${hasTrouble})`);
  writeFileSync(join(folder, 'record.txt'), `${system.lines.join('\n')}\n`);
}
process.exit(result);
