// Starts the project's own programs as separate processes on loopback addresses, with the commands
// of deploy/system.toml and settings like those of a small deployment.
import { spawn } from 'node:child_process';
import { mkdirSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

/** Exit code of a script that could not run to its end. */
const INTERRUPTED = 2;
const ROOT = resolve(fileURLToPath(import.meta.url), '../../..');

/** Bounds of the small deployment, as in the settings that DEPLOY.md shows. */
export const BOUNDS = {
  seed_lag_s: 3,
  reuse_after_s: 2,
  touch_ms: 3000,
  ack_timeout_ms: 4000,
  catch_up_s: 4,
  drain_timeout_ms: 2000,
  grace_period_s: 8,
  loss_slack_ms: 200,
  config_propagation_ms: 2000,
  downgrade_slack_ms: 250,
  outer_bound_ms: 5000,
  strict_revocation: true,
  revocation_ms: 5000,
  retry_budget_ratio: 0.9,
  budget_window_s: 10,
  retry_budget_slack: 56,
  exposure_share: 0.15,
  exposure_slack: 30,
  rollback_ms: 5000,
  recovery_s: 12,
  pass_ms: 120,
  reuse_window_s: 10,
  session_s: 5,
};

/** Interval between the reports of a runner, in milliseconds. */
export const HEARTBEAT_MS = 1200;

const readCommands = () => {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const find = (role) =>
    new RegExp(`\\[roles\\.${role}\\]\\s+run = "([^"]+)"`).exec(text)[1].split(' ');
  return { front: find('entry'), core: find('control') };
};

const isFree = (host, port) =>
  new Promise((done) => {
    const server = createServer();
    server.once('error', () => done(false));
    server.listen(port, host, () => server.close(() => done(true)));
  });

/** Finds a port that is free on all the hosts. */
export const findFreePort = async (hosts) => {
  for (let tries = 0; tries < 200; tries += 1) {
    const port = 20_000 + Math.floor(Math.random() * 12_000);
    const free = await Promise.all(hosts.map((host) => isFree(host, port)));
    if (free.every(Boolean)) return port;
  }
  throw new Error('no free port');
};

/** Creates the settings of one process, as the platform writes them. */
const createSettings = ({ folder, ports, coreHosts }, { name, kind, host, zone, isBootstrap }) => ({
  node_name: name,
  role: kind === 'front' ? 'entry' : 'control',
  machine_class: kind,
  serves: [kind === 'front' ? 'front' : 'control'],
  ip_address: host,
  zone,
  region: 'r',
  zones: { 'z-a': 'r', 'z-b': 'r', 'z-c': 'r' },
  listen_addresses:
    kind === 'front'
      ? { front: `${host}:${ports.front}`, ready: `${host}:${ports.ready}` }
      : { control: `${host}:${ports.control}` },
  internal_port_range: [ports.internal, ports.internal + 15],
  seed_nodes: coreHosts.map((core) => `${core}:${ports.control}`),
  bootstrap: isBootstrap,
  counted_for_tolerance: kind === 'core',
  limits: {
    cpu_share: kind === 'front' ? 0.513 : 0.81,
    cpu_cores: kind === 'front' ? 1 : 2,
    memory_mb: kind === 'front' ? 350 : 346,
    file_descriptors: kind === 'front' ? 4100 : 4096,
    link_speed_mbps: 1000,
    disk_mb: kind === 'front' ? 0 : 128,
  },
  ...(kind === 'core' ? { data_directory: join(folder, name) } : {}),
  discovery: 'registration',
  entry_point: 'virtual_ip',
  heartbeat_interval_ms: HEARTBEAT_MS,
  contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'engine', 'stream'].concat([
    'tenants',
    'rollout',
  ]),
  fault_tolerance: { machines: 1, zones: 0, regions: 0 },
  bounds: BOUNDS,
  configuration_mode: 'highest',
});

/** Creates a system; processes start with `startCore` and `startFront`. */
export const createSystem = async ({ cores = 3, fronts = 1 } = {}) => {
  const folder = mkdtempSync(join(tmpdir(), 'review-'));
  const net = `127.${20 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`;
  const coreHosts = Array.from({ length: cores }, (_item, index) => `${net}.${10 + index}`);
  const frontHosts = Array.from({ length: fronts }, (_item, index) => `${net}.${50 + index}`);
  const hosts = [...coreHosts, ...frontHosts];
  const frontPort = await findFreePort(hosts);
  const readyPort = await findFreePort(hosts);
  const controlPort = await findFreePort(hosts);
  const internalPort = await findFreePort(hosts);
  const commands = readCommands();
  const processes = new Map();
  const startedAt = performance.now();
  const lines = [];

  const record = (text) => {
    lines.push(`${((performance.now() - startedAt) / 1000).toFixed(3).padStart(8)} ${text}`);
  };

  const start = (name, kind, host, zone, isBootstrap) => {
    const file = join(folder, `${name}.conf`);
    const ports = {
      front: frontPort,
      ready: readyPort,
      control: controlPort,
      internal: internalPort,
    };
    const settings = createSettings(
      { folder, ports, coreHosts },
      { name, kind, host, zone, isBootstrap },
    );
    writeFileSync(file, JSON.stringify(settings));
    if (kind === 'core') mkdirSync(join(folder, name), { recursive: true });
    const log = openSync(join(folder, `${name}.log`), 'a');
    const [program, ...args] = commands[kind];
    const child = spawn(program === 'node' ? process.execPath : program, args, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: folder, LANG: 'C', OLEANDERFRONT_NODE_FILE: file },
      stdio: ['ignore', log, log],
    });
    const entry = { child, isEnded: false, code: undefined, signal: undefined };
    child.once('exit', (code, signal) => {
      Object.assign(entry, { isEnded: true, code, signal });
      record(`process ${name} ended, code ${code}, signal ${signal}`);
    });
    processes.set(name, entry);
    record(`process ${name} started`);
    return entry;
  };

  const zones = ['z-a', 'z-b', 'z-c'];
  const startCore = (index, isBootstrap = true) =>
    start(`core-${index}`, 'core', coreHosts[index], zones[index % 3], isBootstrap);
  const startFront = (index) =>
    start(`front-${index}`, 'front', frontHosts[index], zones[index % 3], true);

  const sendSignal = (name, kind) => {
    const entry = processes.get(name);
    if (!entry || entry.isEnded) return;
    record(`signal ${kind} to ${name}`);
    entry.child.kill(kind);
  };

  const waitForEnd = async (name, timeoutMs = 10_000) => {
    const end = performance.now() + timeoutMs;
    while (!processes.get(name).isEnded && performance.now() < end) await sleep(10);
    return processes.get(name).isEnded;
  };

  // The script may be ended early; its processes must not outlive it.
  const handleSignal = () => {
    processes.forEach(({ child, isEnded }) => {
      if (isEnded) return;
      child.kill('SIGCONT');
      child.kill('SIGKILL');
    });
    rmSync(folder, { recursive: true, force: true });
    process.exit(INTERRUPTED);
  };
  process.once('SIGTERM', handleSignal);
  process.once('SIGINT', handleSignal);

  const stop = async () => {
    for (const { child, isEnded } of processes.values()) {
      if (isEnded) continue;
      child.kill('SIGCONT');
      child.kill('SIGKILL');
    }
    await Promise.all([...processes.keys()].map((name) => waitForEnd(name)));
    rmSync(folder, { recursive: true, force: true });
  };

  return {
    folder,
    net,
    coreHosts,
    frontHosts,
    frontPort,
    readyPort,
    controlPort,
    internalPort,
    processes,
    record,
    lines,
    startCore,
    startFront,
    sendSignal,
    waitForEnd,
    stop,
  };
};
