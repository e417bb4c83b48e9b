import { readFileSync } from 'node:fs';
import test from 'ava';
import { format, resolveConfig as resolvePrettierConfig } from 'prettier';
import {
  agentSettingsSchema,
  controlSettingsSchema,
  entrySettingsSchema,
  formatFault,
  formatSettingsReference,
  parseJsonc,
  resolveConfig,
  resolveRpcOptions,
} from '..';

const PAGE = new URL('../../../../docs/SETTINGS.md', import.meta.url).pathname;

const AGENT = `{
  // One agent per host.
  "node": "a1",
  "zone": "leon",
  "listen": { "port": 0 },
  "announceListen": { "port": 0 },
  "secrets": { "internal": "not-a-secret" },
  "control": ["10.0.0.1:7000"],
}`;

const CASES: readonly {
  readonly title: string;
  readonly from: string;
  readonly to: string;
  readonly faults: readonly RegExp[];
}[] = [
  {
    title: 'unknown keys are reported with their lines',
    from: '"zone": "leon",',
    to: '"zoen": "leon",',
    faults: [/^f:1: zone: /, /^f:4: zoen: unknown key 'zoen'; did you mean 'zone'\?/],
  },
  {
    title: 'an unknown key inside an object is reported',
    from: '"listen": { "port": 0 }',
    to: '"listen": { "port": 0, "prt": 1 }',
    faults: [/^f:5: listen\.prt: unknown key 'prt'; did you mean 'port'\?/],
  },
  {
    title: 'two faults are reported at once',
    from: '"control": ["10.0.0.1:7000"]',
    to: '"control": ["10.0.0.1"], "queueLimit": "many"',
    faults: [/^f:8: control\.0: use host:port/, /^f:8: queueLimit: /],
  },
  {
    title: 'a syntax error is reported',
    from: '"a1",',
    to: '"a1"',
    faults: [/^f:4: \(top\): CommaExpected/],
  },
];

for (const { title, from, to, faults: expected } of CASES) {
  test(`settings: ${title}`, (t) => {
    const answer = parseJsonc('f', AGENT.replace(from, to), agentSettingsSchema);
    const faults = answer.swap().orDefault([]).map(formatFault);
    t.is(faults.length, expected.length, faults.join('\n'));
    expected.forEach((pattern, index) => t.regex(faults[index]!, pattern));
  });
}

test('settings with comments and a trailing comma are accepted', (t) => {
  const settings = parseJsonc('f', AGENT, agentSettingsSchema).unsafeCoerce();
  t.is(settings.queueLimit, 1_000);
});

test('TLS files and the data folder are relative to the folder of the settings file', (t) => {
  const settings = controlSettingsSchema.parse({
    node: 'c1',
    zone: 'leon',
    listen: { port: 0 },
    secrets: { internal: 'not-a-secret' },
    data: 'state',
    peers: [{ node: 'c1', address: '10.0.0.1:7000' }],
    tls: { keyFile: 'k.pem', certFile: '/etc/c.pem', caFile: 'ca.pem' },
  });
  const config = resolveConfig(settings, '/etc/router/c1.jsonc', (path) => path).unsafeCoerce();
  t.is(config.data, '/etc/router/state');
  t.deepEqual(config.portTls?.internal, { key: '/etc/router/k.pem', cert: '/etc/c.pem' });
  t.deepEqual(resolveRpcOptions(config), {
    secret: 'not-a-secret',
    scheme: 'https',
    certificateAuthority: '/etc/router/ca.pem',
  });
});

test('all unreadable TLS files are reported at once', (t) => {
  const settings = entrySettingsSchema.parse({
    node: 'e1',
    zone: 'leon',
    listen: { port: 0 },
    internalListen: { port: 0 },
    secrets: { internal: 'not-a-secret' },
    control: ['10.0.0.1:7000'],
    callerTls: { keyFile: 'no-such-key.pem', certFile: 'no-such-cert.pem' },
  });
  const faults = resolveConfig(settings, 'e1.jsonc').swap().orDefault([]);
  t.deepEqual(
    faults.map(({ path }) => path),
    ['callerTls.keyFile', 'callerTls.certFile'],
  );
});

test('operatorTls without operatorListen is a fault', (t) => {
  const parsed = controlSettingsSchema.safeParse({
    node: 'c1',
    zone: 'leon',
    listen: { port: 0 },
    secrets: { internal: 'not-a-secret' },
    data: 'state',
    peers: [{ node: 'c1', address: '10.0.0.1:7000' }],
    operatorTls: { keyFile: 'k.pem', certFile: 'c.pem' },
  });
  t.deepEqual(parsed.error?.issues[0]?.path, ['operatorTls']);
});

test('the settings page is current', async (t) => {
  const options = await resolvePrettierConfig(PAGE);
  const page = await format(formatSettingsReference(), { ...options, parser: 'markdown' });
  t.is(readFileSync(PAGE, 'utf8'), page, 'run npm run docs:settings');
});
