import { readFileSync } from 'node:fs';
import { parse } from 'jsonc-parser';
import { Left, type Either } from 'purify-ts';
import { z } from 'zod';
import { checkInventory, inventorySchema, type Inventory } from '../inventory';
import {
  agentSettingsSchema,
  controlSettingsSchema,
  entrySettingsSchema,
  parseJsonc,
  resolveConfig,
  type AgentSettings,
  type ControlSettings,
  type EntrySettings,
  type Fault,
} from '../settings';

/** The kinds of configuration files. */
export const FILE_KINDS = ['entry', 'agent', 'control', 'inventory'] as const;

/** The kind of a configuration file. */
export type FileKind = (typeof FILE_KINDS)[number];

interface ValueByKind {
  readonly entry: EntrySettings;
  readonly agent: AgentSettings;
  readonly control: ControlSettings;
  readonly inventory: Inventory;
}

/** A configuration file that has no faults by itself. */
export type CheckedFile = {
  readonly [K in FileKind]: {
    readonly kind: K;
    readonly file: string;
    readonly value: ValueByKind[K];
  };
}[FileKind];

type FileParser = (file: string, text: string) => Either<readonly Fault[], CheckedFile>;

const FILE_PARSERS: Readonly<Record<FileKind, FileParser>> = {
  entry: (file, text) =>
    parseJsonc(file, text, entrySettingsSchema)
      .chain((settings) => resolveConfig(settings, file))
      .map((value) => ({ kind: 'entry', file, value })),
  agent: (file, text) =>
    parseJsonc(file, text, agentSettingsSchema)
      .chain((settings) => resolveConfig(settings, file))
      .map((value) => ({ kind: 'agent', file, value })),
  control: (file, text) =>
    parseJsonc(file, text, controlSettingsSchema)
      .chain((settings) => resolveConfig(settings, file))
      .map((value) => ({ kind: 'control', file, value })),
  inventory: (file, text) =>
    parseJsonc(file, text, inventorySchema, checkInventory).map((value) => ({
      kind: 'inventory',
      file,
      value,
    })),
};

const SCHEMAS: Readonly<Record<FileKind, z.ZodType>> = {
  entry: entrySettingsSchema,
  agent: agentSettingsSchema,
  control: controlSettingsSchema,
  inventory: inventorySchema,
};

const listKeys = (schema: z.ZodType): readonly string[] => {
  const json = z.toJSONSchema(schema, { io: 'input' }) as { readonly properties?: object };
  return Object.keys(json.properties ?? {});
};

// Chooses the kind that shares the most keys with the file, which tolerates mistyped keys.
const findKind = (text: string): FileKind => {
  const value: unknown = parse(text, [], { allowTrailingComma: true });
  const keys = typeof value === 'object' && value !== null ? Object.keys(value) : [];
  const candidates = FILE_KINDS.map((kind) => {
    const known = new Set(listKeys(SCHEMAS[kind]));
    return { kind, sharedKeys: keys.filter((key) => known.has(key)).length };
  });
  return candidates.sort((a, b) => b.sharedKeys - a.sharedKeys)[0]!.kind;
};

/**
 * Reads a configuration file and returns all its faults. Detects the kind by the keys if absent.
 */
export const readConfigFile = (
  file: string,
  kind?: FileKind,
): Either<readonly Fault[], CheckedFile> => {
  try {
    const text = readFileSync(file, 'utf8');
    return FILE_PARSERS[kind ?? findKind(text)](file, text);
  } catch (cause) {
    const message = cause instanceof Error ? cause.message : String(cause);
    return Left([{ file, line: 1, path: '', message }]);
  }
};
