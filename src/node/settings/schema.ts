import { z } from 'zod';

const port = z.number().int().min(0).max(65_535);
const address = z.string().regex(/^[^\s:]+:\d{1,5}$/, 'use host:port with an IP address');
const milliseconds = z.number().int().positive();

const listenSchema = z.strictObject({ host: z.string().default('127.0.0.1'), port }).readonly();

const secretsSchema = z
  .strictObject({
    /** Shared by the system's own processes. */
    internal: z.string().min(8),
    /** Asked of operators; control only. */
    operator: z.string().min(8).optional(),
  })
  .readonly();

const tlsSchema = z
  .strictObject({ keyFile: z.string(), certFile: z.string(), caFile: z.string().optional() })
  .readonly();

const commonShape = {
  node: z.string().min(1).max(64),
  zone: z.string().min(1).max(64),
  host: z.string().min(1).max(64).optional(),
  listen: listenSchema,
  secrets: secretsSchema,
  tls: tlsSchema.optional(),
  logLevel: z.enum(['trace', 'debug', 'info', 'warn', 'error', 'silent']).default('info'),
} as const;

const limitsSchema = z
  .strictObject({
    bodyBytes: z.number().int().positive().default(4_194_304),
    streamBytes: z.number().int().positive().default(67_108_864),
    requestTimeoutMs: milliseconds.default(10_000),
    answerTimeoutMs: milliseconds.default(120_000),
    inFlight: z.number().int().positive().default(2_000),
  })
  .readonly();

/** Settings of an `entry` process. */
export const entrySettingsSchema = z
  .strictObject({
    ...commonShape,
    /** Port for the system's own processes, health and metrics. */
    internalListen: listenSchema,
    control: z.array(address).min(1).readonly(),
    limits: limitsSchema.prefault({}),
    ratingAddress: address.optional(),
    callerTls: tlsSchema.optional(),
  })
  .readonly();

/** Settings of an `agent` process. */
export const agentSettingsSchema = z
  .strictObject({
    ...commonShape,
    /** Port on which the engine beside the agent announces itself. */
    announceListen: listenSchema,
    /** Address under which entries reach this agent, where it differs from `listen`. */
    advertise: address.optional(),
    control: z.array(address).min(1).readonly(),
    weightStore: address.optional(),
    announcementTimeoutMs: milliseconds.default(5_000),
    bufferBytes: z.number().int().positive().default(8_388_608),
    queueLimit: z.number().int().positive().default(1_000),
  })
  .readonly();

const peerSchema = z.strictObject({ node: z.string(), address }).readonly();

/** Settings of a `control` process. */
export const controlSettingsSchema = z
  .strictObject({
    ...commonShape,
    /** Folder of the durable state. */
    data: z.string(),
    /** All control hosts of the first group, this one included. */
    peers: z.array(peerSchema).min(1).readonly(),
    leaseMs: milliseconds.default(5_000),
    ledgerShards: z.number().int().min(1).max(64).default(1),
  })
  .readonly();

/** Settings of an `entry` process. */
export type EntrySettings = z.infer<typeof entrySettingsSchema>;
/** Settings of an `agent` process. */
export type AgentSettings = z.infer<typeof agentSettingsSchema>;
/** Settings of a `control` process. */
export type ControlSettings = z.infer<typeof controlSettingsSchema>;
