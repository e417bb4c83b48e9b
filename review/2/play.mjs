// Hundreds of changes of a config that has grown by many routes.
import { readdirSync, statSync, writeFileSync, readFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { callControl, send } from '../lib/http.mjs';
import { createSystem } from '../lib/system.mjs';

const HELD = 0;
const BROKEN = 1;
const FAILED = 2;

const hasTrouble = process.env.TROUBLE !== '0';
const folder = dirname(fileURLToPath(import.meta.url));

const BASE_ROUTES = 5;
/** Two changes of the largest dose of the site file: `big_config, count = 350`. */
const ADDED_ROUTES = 700;
/** "A day may be long and may contain hundreds of changes." */
const CHANGES = 600;
/** The pause of the storms of the site file: `config_storm, for_s = 2.0, gap_s = 0.08`. */
const GAP_MS = 80;
const CORES = [0, 1, 2];
const RESTART_DELAY_MS = 500;
/** "On half of the core, processes end by themselves three times in the day." */
const FAULTY_ENDS = 3;
const FAULTY_CORES = CORES.length / 2;
/** The changes end here, so that the whole script stays under 120 s. */
const CHANGES_MS = 95_000;
/** The operator stops sending changes when none was acknowledged for so long. */
const GIVE_UP_MS = 8000;
/** Longer than `touch_ms` and than `recovery_s`. */
const READ_BACK_MS = 15_000;

const createRoute = (index, change) => ({
  name: `r-${index.toString(36).padStart(7, 'x')}`,
  host: `h${index % 7}.example`,
  path_prefix: `/p${index}/`,
  kind: 'streaming',
  timeout_ms: 12000 + (change % 50),
  target_latency_ms: 3000,
  priority: 1,
  sizes: ['daka510000', 'rada7437b5', 'ravo486f6a'],
  service: 'huvo11a',
  max_attempts: 3,
  public: false,
  sticky_sessions: true,
  resume_streams: true,
  gap_target_ms: 1500,
});

const createConfig = (version, routes) =>
  JSON.stringify({
    version,
    routes: Array.from({ length: routes }, (_item, index) => createRoute(index, version)),
    services: [
      {
        name: 'huvo11a',
        health_check_path: '/health',
        connection_limit: 370,
        protocol: 'h1',
        tls: false,
        engine: {
          slots: 64,
          kv_cache_tokens: 581870,
          models: [
            { name: 'daka510000', cost: 0.0088 },
            { name: 'rada7437b5', cost: 0.066 },
            { name: 'ravo486f6a', cost: 0.13 },
          ],
        },
      },
    ],
    limits: {
      max_header_bytes: 16384,
      max_body_bytes: 4194304,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15000,
    },
    tenants: Array.from({ length: 10 }, (_item, index) => ({
      name: `t-${index}`,
      api_keys: [`key-${index}-aaaaaaaaaaaa`, `key-${index}-bbbbbbbbbbbb`],
      priority: 1,
    })),
  });

const computeFolderBytes = (path) =>
  readdirSync(path, { withFileTypes: true }).reduce(
    (sum, item) =>
      sum +
      (item.isDirectory()
        ? computeFolderBytes(join(path, item.name))
        : statSync(join(path, item.name)).size),
    0,
  );

const readMemoryMb = (pid) => {
  try {
    const status = readFileSync(`/proc/${pid}/status`, 'utf8');
    return Number(/VmRSS:\s+(\d+)/.exec(status)[1]) / 1024;
  } catch {
    return 0;
  }
};

const formatCores = (system) =>
  CORES.map((index) => {
    const name = `core-${index}`;
    const { child, isEnded } = system.processes.get(name);
    const memory = isEnded ? 'ended' : `${readMemoryMb(child.pid).toFixed(0)} MB in memory`;
    return `${name} ${(computeFolderBytes(join(system.folder, name)) / 1e6).toFixed(0)} MB on disk, ${memory}`;
  }).join('; ');

const countFaulty = (ends) => ends.filter((count) => count >= FAULTY_ENDS).length;

const runCase = async (system) => {
  const startedAt = performance.now();
  const { record, coreHosts, controlPort } = system;
  const ends = CORES.map(() => 0);
  let isPlaying = true;

  // The platform starts a process that ends again after a short delay.
  const runCore = async (index) => {
    const name = `core-${index}`;
    system.startCore(index);
    while (isPlaying) {
      await sleep(100);
      if (!isPlaying || !system.processes.get(name).isEnded) continue;
      ends[index] += 1;
      await sleep(RESTART_DELAY_MS);
      if (isPlaying) system.startCore(index, false);
    }
  };
  const supervisors = CORES.map(runCore);
  system.startFront(0);

  const routes = BASE_ROUTES + (hasTrouble ? ADDED_ROUTES : 0);
  const sentTexts = new Map();
  let acked = 0;
  let silentSince;
  for (let version = 1; version <= CHANGES; version += 1) {
    const body = createConfig(version, version === 1 ? BASE_ROUTES : routes);
    sentTexts.set(version, body);
    const answer = await callControl(system, {
      method: 'POST',
      path: '/configuration/replace',
      body,
      timeoutMs: 2000,
      tries: 6,
    });
    if (answer.status === 200) {
      acked = version;
      silentSince = undefined;
    } else {
      record(`version ${version} of ${body.length} bytes: no ack, last answer ${answer.status}`);
      silentSince ??= performance.now();
    }
    if (version % 50 === 0) {
      record(`version ${version} of ${body.length} bytes, acked ${acked}: ${formatCores(system)}`);
    }
    if (silentSince !== undefined && performance.now() - silentSince > GIVE_UP_MS) break;
    if (countFaulty(ends) >= FAULTY_CORES || performance.now() - startedAt > CHANGES_MS) break;
    await sleep(GAP_MS);
  }
  if (acked === 0) return FAILED;

  record(`end of the day: newest acknowledged version ${acked}; ${formatCores(system)}`);
  let isBack = false;
  const end = performance.now() + READ_BACK_MS;
  for (let attempt = 0; !isBack && performance.now() < end; attempt += 1) {
    const host = coreHosts[attempt % coreHosts.length];
    const path = '/configuration/get';
    const { status, text } = await send({ host, port: controlPort, path, timeoutMs: 1000 });
    const version = status === 200 ? JSON.parse(text).version : undefined;
    record(
      `config read at ${host}: ${status}${version === undefined ? '' : `, version ${version}`}`,
    );
    isBack = version !== undefined && version >= acked && text === sentTexts.get(version);
    await sleep(200);
  }
  isPlaying = false;
  await Promise.all(supervisors);
  record(`processes that ended by themselves: ${ends.join(', ')}`);
  const faulty = countFaulty(ends);
  record(`${faulty} of ${CORES.length} ended ${FAULTY_ENDS} times or more; read back: ${isBack}`);
  return isBack && faulty < FAULTY_CORES ? HELD : BROKEN;
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
