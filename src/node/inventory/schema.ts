import { z } from 'zod';

const name = z
  .string()
  .min(1)
  .max(64)
  .regex(
    /^[A-Za-z0-9][A-Za-z0-9._-]*$/,
    'use letters, digits, dots, dashes and underscores, starting with a letter or digit',
  );
const share = z.number().min(0).max(1);

const zoneSchema = z.strictObject({ name, region: name }).readonly();

const hostSchema = z.strictObject({ name, zone: name, address: z.string() }).readonly();

const versionSchema = z
  .strictObject({
    name,
    state: z.enum(['active', 'draining', 'withdrawn']).default('active'),
    /** Prior of the quality, 0 to 1, until there are ratings. */
    priorQuality: share.optional(),
  })
  .readonly();

const modelSchema = z
  .strictObject({
    name,
    /** Version that new sessions get when no roll-out is active. */
    stableVersion: name,
    versions: z.array(versionSchema).min(1).readonly(),
    /** Cost in the operators' currency unit per 1,000 tokens. */
    inputCostPerThousand: z.number().min(0),
    outputCostPerThousand: z.number().min(0),
    priorQuality: share.default(0.5),
    /** Prior of the time to the complete answer, in milliseconds. */
    priorLatencyMs: z.number().min(0).default(1_000),
  })
  .readonly();

const routeSchema = z
  .strictObject({
    method: z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']),
    /** Path prefix below the service, starting with a slash. */
    path: z.string().startsWith('/'),
    idempotent: z.boolean(),
  })
  .readonly();

const serviceSchema = z
  .strictObject({ name, routes: z.array(routeSchema).readonly().default([]) })
  .readonly();

const servedVersionSchema = z.strictObject({ model: name, version: name }).readonly();

const endpointSchema = z
  .strictObject({
    name,
    host: name,
    /** Versions that the engine must have loaded. If absent, nothing is loaded or unloaded. */
    load: z.array(servedVersionSchema).readonly().optional(),
    service: name.optional(),
    role: z.string().optional(),
    /** Adapters that the engine must have loaded. If absent, none are loaded or unloaded. */
    adapters: z.array(name).readonly().optional(),
    state: z.enum(['active', 'leaving']).default('active'),
  })
  .readonly();

const capSchema = z
  .strictObject({
    requestsPerSecond: z.number().positive().optional(),
    tokensPerSecond: z.number().positive().optional(),
    inFlight: z.number().int().positive().optional(),
  })
  .readonly();

const allowedModelSchema = z
  .strictObject({
    name,
    /** If absent, all versions are allowed. */
    versions: z.array(name).readonly().optional(),
  })
  .readonly();

const organisationSchema = z
  .strictObject({
    name,
    /** SHA-256 hash of each API key, in hexadecimal. */
    keyHashes: z.array(z.string().regex(/^[0-9a-f]{64}$/)).readonly(),
    models: z.array(allowedModelSchema).readonly(),
    services: z.array(name).readonly().default([]),
    weight: z.number().positive().default(1),
    qualityTarget: share.optional(),
    cap: capSchema.default({}),
  })
  .readonly();

const taskSchema = z
  .strictObject({
    name,
    class: z.enum(['urgent', 'normal', 'deferrable']).default('normal'),
    idempotent: z.boolean().default(true),
    value: z.enum(['high', 'normal']).default('normal'),
    qualityTarget: share.optional(),
    deadlineMs: z.number().positive().optional(),
  })
  .readonly();

const rolloutRulesSchema = z
  .strictObject({
    /** Share of new sessions that get the new version at each step. */
    steps: z.array(share).min(1).readonly().default([0.01, 0.05, 0.25, 1]),
    minSamplesPerStep: z.number().int().positive().default(50),
    /** Drop in quality against the stable version that must be ruled out before the last step. */
    toleratedFall: share.default(0.05),
    falseHaltRate: share.default(0.05),
  })
  .readonly();

const rulesSchema = z
  .strictObject({
    qualityTarget: share.default(0.8),
    confidence: share.default(0.9),
    /** Cost of one second of latency, in cost units. */
    latencyWeight: z.number().min(0).default(0),
    ratingShare: share.default(0.1),
    /** Cost of one rating, in cost units. */
    ratingCost: z.number().min(0).default(0),
    explorationShare: share.default(0.02),
    retryBudget: share.default(0.1),
    tasks: z.array(taskSchema).readonly().default([]),
    weightStore: z
      .strictObject({
        /** Maximum number of loads per minute from the weight store, over all agents. */
        loadsPerMinute: z.number().positive().default(60),
      })
      .readonly()
      .prefault({}),
    rollout: rolloutRulesSchema.prefault({}),
  })
  .readonly();

/** Schema of an inventory with its rules. Unknown keys are errors. */
export const inventorySchema = z
  .strictObject({
    zones: z.array(zoneSchema).readonly(),
    hosts: z.array(hostSchema).readonly().default([]),
    models: z.array(modelSchema).readonly(),
    services: z.array(serviceSchema).readonly().default([]),
    endpoints: z.array(endpointSchema).readonly().default([]),
    organisations: z.array(organisationSchema).readonly(),
    rules: rulesSchema.prefault({}),
  })
  .readonly();

/** Schema of a served version, for messages that contain one. */
export const servedVersion = servedVersionSchema;

/** Operators' description of their deployment, its organisations and rules. */
export type Inventory = z.infer<typeof inventorySchema>;
/** An availability zone. */
export type Zone = z.infer<typeof zoneSchema>;
/** A host of the inventory. */
export type Host = z.infer<typeof hostSchema>;
/** A model with its versions and costs. */
export type Model = z.infer<typeof modelSchema>;
/** One version of a model. */
export type ModelVersion = z.infer<typeof versionSchema>;
/** A plain (non-model) service and its routes. */
export type PlainService = z.infer<typeof serviceSchema>;
/** An endpoint with its host, the versions and adapters to load, and its state. */
export type Endpoint = z.infer<typeof endpointSchema>;
/** An organisation with its keys, permissions and cap. */
export type Organisation = z.infer<typeof organisationSchema>;
/** Limits on the usage of one organisation. */
export type Cap = z.infer<typeof capSchema>;
/** A kind of request, with its scheduling class, quality target and deadline. */
export type Task = z.infer<typeof taskSchema>;
/** Rules for cost, quality, tasks, the weight store and roll-outs. */
export type Rules = z.infer<typeof rulesSchema>;
/** A model and a version of it. */
export type ServedVersion = z.infer<typeof servedVersionSchema>;
