import { z } from 'zod';

const port = z.number().int().min(0).max(65_535);
const address = z.string().regex(/^[^\s:]+:\d{1,5}$/, 'use host:port with an IP address');
const milliseconds = z.number().int().positive();

const listenSchema = z
  .strictObject({
    host: z.string().default('127.0.0.1').describe('IP address to listen on.'),
    port: port.describe('TCP port; 0 picks a free one.'),
  })
  .readonly();

const secretsSchema = z
  .strictObject({
    internal: z
      .string()
      .min(8)
      .describe("Shared secret of the system's own processes; the same on all of them."),
    operator: z
      .string()
      .min(8)
      .optional()
      .describe('Secret that operators must send; control only.'),
  })
  .readonly();

const tlsShape = {
  keyFile: z.string().describe('PEM file of the private key.'),
  certFile: z.string().describe('PEM file of the certificate chain.'),
} as const;

const portTlsSchema = z.strictObject(tlsShape).readonly();

const tlsSchema = z
  .strictObject({
    ...tlsShape,
    caFile: z
      .string()
      .optional()
      .describe("PEM file of the certificate authority that signed the peers' certificates."),
  })
  .readonly();

const commonShape = {
  node: z
    .string()
    .min(1)
    .max(64)
    .describe('Name of this process; unique in the system and unchanged across restarts.'),
  zone: z.string().min(1).max(64).describe('Availability zone; must be in the inventory.'),
  host: z
    .string()
    .min(1)
    .max(64)
    .optional()
    .describe('Host in the inventory; the value of `node` by default.'),
  listen: listenSchema.describe(
    'Port of the role: the port for callers on an entry, the internal port on agents and control hosts.',
  ),
  secrets: secretsSchema.describe('Shared secrets.'),
  tls: tlsSchema
    .optional()
    .describe(
      'TLS of the internal ports. Set it on every process or on none: a process with TLS ' +
        'uses it for the connections to all its peers.',
    ),
  logLevel: z
    .enum(['trace', 'debug', 'info', 'warn', 'error', 'silent'])
    .default('info')
    .describe('Minimum level to log; decisions are logged at `info`.'),
} as const;

const limitsSchema = z
  .strictObject({
    bodyBytes: z
      .number()
      .int()
      .positive()
      .default(4_194_304)
      .describe("Maximum size of the body of a caller's request, in bytes."),
    streamBytes: z
      .number()
      .int()
      .positive()
      .default(67_108_864)
      .describe('Maximum size of an answer, in bytes.'),
    requestTimeoutMs: milliseconds
      .default(10_000)
      .describe('Time limit for a caller to send its whole request, in milliseconds.'),
    answerTimeoutMs: milliseconds
      .default(120_000)
      .describe('Time limit for a whole answer, in milliseconds.'),
    inFlight: z
      .number()
      .int()
      .positive()
      .default(2_000)
      .describe('Maximum number of requests in progress.'),
  })
  .readonly();

const controlList = z
  .array(address)
  .min(1)
  .readonly()
  .describe('Addresses of the control hosts, tried in order.');

/** Settings of an `entry` process. */
export const entrySettingsSchema = z
  .strictObject({
    ...commonShape,
    internalListen: listenSchema.describe(
      "Port for the system's own processes, health checks and metrics.",
    ),
    control: controlList,
    limits: limitsSchema.prefault({}).describe('Limits on requests from callers.'),
    ratingAddress: address.optional().describe('Address of the service that rates answers.'),
    callerTls: portTlsSchema.optional().describe("TLS of the callers' port."),
  })
  .readonly();

/** Settings of an `agent` process. */
export const agentSettingsSchema = z
  .strictObject({
    ...commonShape,
    announceListen: listenSchema.describe(
      'Port on which the engine or service beside the agent announces itself; keep it on loopback.',
    ),
    advertise: address
      .optional()
      .describe('Address at which entries reach this agent, if it differs from `listen`.'),
    control: controlList,
    weightStore: address.optional().describe('Address of the weight store.'),
    announcementTimeoutMs: milliseconds
      .default(5_000)
      .describe(
        'Time without an announcement after which an endpoint is removed, in milliseconds.',
      ),
    bufferBytes: z
      .number()
      .int()
      .positive()
      .default(8_388_608)
      .describe('Maximum number of bytes of one answer that are buffered for its reader.'),
    queueLimit: z
      .number()
      .int()
      .positive()
      .default(1_000)
      .describe('Maximum number of queued attempts.'),
  })
  .readonly();

const peerSchema = z
  .strictObject({
    node: z.string().describe("The peer's `node`."),
    address: address.describe('Internal address of the peer.'),
  })
  .readonly();

/** Settings of a `control` process. */
export const controlSettingsSchema = z
  .strictObject({
    ...commonShape,
    data: z.string().describe('Folder of the durable state; its disk must preserve synced files.'),
    peers: z
      .array(peerSchema)
      .min(1)
      .readonly()
      .describe('All control hosts of the initial group, including this one.'),
    operatorListen: listenSchema
      .optional()
      .describe('Port for operators; without it, operators use the port `listen`.'),
    operatorTls: portTlsSchema
      .optional()
      .describe("TLS of the operators' port; needs `operatorListen`."),
    leaseMs: milliseconds
      .default(5_000)
      .describe(
        'Duration of a lease in milliseconds; a change is in force everywhere within this time.',
      ),
    ledgerShards: z
      .number()
      .int()
      .min(1)
      .max(64)
      .default(1)
      .describe('Number of ledger groups; cannot change once the system has state.'),
  })
  .refine(
    (settings) => settings.operatorTls === undefined || settings.operatorListen !== undefined,
    {
      message: 'operatorTls needs operatorListen',
      path: ['operatorTls'],
    },
  )
  .readonly();

/** The settings schema of each role. */
export const SETTINGS_SCHEMAS = {
  entry: entrySettingsSchema,
  agent: agentSettingsSchema,
  control: controlSettingsSchema,
} as const;

/** The roles that run from a settings file. */
export type Role = keyof typeof SETTINGS_SCHEMAS;

/** TLS files of a port. */
export type TlsFiles = z.infer<typeof portTlsSchema>;
/** Settings of an `entry` process. */
export type EntrySettings = z.infer<typeof entrySettingsSchema>;
/** Settings of an `agent` process. */
export type AgentSettings = z.infer<typeof agentSettingsSchema>;
/** Settings of a `control` process. */
export type ControlSettings = z.infer<typeof controlSettingsSchema>;
