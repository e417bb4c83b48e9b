import { parse } from 'csv-parse/sync';
import { Left, Right, type Either } from 'purify-ts';
import { z } from 'zod';
import { checkInventory } from './checkInventory';
import { formatSuggestion } from './closestName';
import { inventorySchema, type Inventory } from './schema';

/** A row of a CSV file that cannot be imported. */
export interface CsvFault {
  /** Line of the file, starting at 1. Line 0 means an item of the base inventory. */
  readonly line: number;
  readonly column: string;
  readonly message: string;
}

type Item = Readonly<Record<string, unknown>>;

const LISTS = ['zones', 'hosts', 'models', 'services', 'endpoints', 'organisations'] as const;

type ListName = (typeof LISTS)[number];
type Tables = Readonly<Record<ListName, Map<string, Item>>>;

interface RowKind {
  readonly schema: z.ZodType;
  readonly list: ListName;
  /** Column with the name of the item that the row is merged into. */
  readonly nameColumn: string;
  /** Merges the row into the existing item of this name, if any. */
  readonly merge: (row: never, known: Item | undefined) => Item;
}

const text = z.string().min(1);
const optionalText = z.string().optional();
const number = z.coerce.number<string>().min(0);
const optionalNumber = number.optional();

const createRowKind = <T>(
  list: ListName,
  nameColumn: string,
  schema: z.ZodType<T>,
  merge: (row: T, known: Item | undefined) => Item,
): RowKind => ({ list, nameColumn, schema, merge });

const readList = (item: Item | undefined, key: string): readonly Item[] =>
  (item?.[key] as readonly Item[] | undefined) ?? [];

const replaceNamed = (list: readonly Item[], item: Item): readonly Item[] => [
  ...list.filter(({ name }) => name !== item.name),
  item,
];

const EMPTY_ORGANISATION = { keyHashes: [], models: [], services: [] };

const mergeAllowedModel = (
  known: Item | undefined,
  model: string,
  version: string | undefined,
): readonly Item[] => {
  const models = readList(known, 'models');
  const old = models.find(({ name }) => name === model);
  if (version === undefined) return replaceNamed(models, { name: model });
  if (old && old.versions === undefined) return models;
  const versions = new Set([...((old?.versions as readonly string[]) ?? []), version]);
  return replaceNamed(models, { name: model, versions: [...versions] });
};

const ROW_KINDS: Readonly<Record<string, RowKind>> = {
  zone: createRowKind('zones', 'name', z.object({ name: text, region: text }), (row) => row),
  host: createRowKind(
    'hosts',
    'name',
    z.object({ name: text, zone: text, address: text }),
    (row) => row,
  ),
  model: createRowKind(
    'models',
    'name',
    z.object({
      name: text,
      version: text,
      input_cost: number,
      output_cost: number,
      quality: optionalNumber,
      latency_ms: optionalNumber,
    }),
    (row, known) => ({
      ...known,
      name: row.name,
      stableVersion: row.version,
      versions: replaceNamed(readList(known, 'versions'), { name: row.version }),
      inputCostPerThousand: row.input_cost,
      outputCostPerThousand: row.output_cost,
      ...(row.quality === undefined ? {} : { priorQuality: row.quality }),
      ...(row.latency_ms === undefined ? {} : { priorLatencyMs: row.latency_ms }),
    }),
  ),
  version: createRowKind(
    'models',
    'model',
    z.object({ model: text, name: text }),
    (row, known) => ({
      ...known,
      name: row.model,
      versions: replaceNamed(readList(known, 'versions'), { name: row.name }),
    }),
  ),
  service: createRowKind('services', 'name', z.object({ name: text }), (row, known) => ({
    ...known,
    name: row.name,
  })),
  endpoint: createRowKind(
    'endpoints',
    'name',
    z
      .object({
        name: text,
        host: text,
        service: optionalText,
        model: optionalText,
        version: optionalText,
      })
      .refine((row) => (row.model === undefined) === (row.version === undefined), {
        message: 'model and version must be given together',
        path: ['version'],
      }),
    (row, known) => ({
      ...known,
      name: row.name,
      host: row.host,
      ...(row.service === undefined ? {} : { service: row.service }),
      ...(row.model === undefined
        ? {}
        : { load: [...readList(known, 'load'), { model: row.model, version: row.version }] }),
    }),
  ),
  organisation: createRowKind(
    'organisations',
    'name',
    z.object({ name: text, key_hash: optionalText, weight: optionalNumber }),
    (row, known) => ({
      ...EMPTY_ORGANISATION,
      ...known,
      name: row.name,
      ...(row.key_hash === undefined ? {} : { keyHashes: [row.key_hash] }),
      ...(row.weight === undefined ? {} : { weight: row.weight }),
    }),
  ),
  allow: createRowKind(
    'organisations',
    'organisation',
    z
      .object({
        organisation: text,
        model: optionalText,
        version: optionalText,
        service: optionalText,
      })
      .refine((row) => (row.model === undefined) !== (row.service === undefined), {
        message: 'a row must allow either a model or a service, not both or neither',
        path: ['model'],
      }),
    (row, known) => ({
      ...EMPTY_ORGANISATION,
      ...known,
      name: row.organisation,
      ...(row.model === undefined
        ? { services: [...new Set([...((known?.services as string[]) ?? []), row.service])] }
        : { models: mergeAllowedModel(known, row.model, row.version) }),
    }),
  ),
};

interface CsvRow {
  readonly record: Readonly<Record<string, string>>;
  readonly info: { readonly lines: number };
}

interface Origin {
  readonly line: number;
}

const createTables = (base: Inventory): Tables => {
  const createTable = (list: ListName): Map<string, Item> =>
    new Map((base[list] as readonly Item[]).map((item) => [String(item.name), item]));
  return Object.fromEntries(LISTS.map((list) => [list, createTable(list)])) as unknown as Tables;
};

const addRow = (
  tables: Tables,
  origins: Map<string, Origin>,
  { record, info }: CsvRow,
): readonly CsvFault[] => {
  const line = info.lines;
  const cells = Object.entries(record).filter(([, value]) => value !== '');
  const { kind = '', ...row } = Object.fromEntries(cells);
  const rowKind = ROW_KINDS[kind];
  if (!rowKind) {
    const hint = formatSuggestion(kind, Object.keys(ROW_KINDS));
    return [{ line, column: 'kind', message: `unknown kind '${kind}'${hint}` }];
  }
  const parsed = rowKind.schema.safeParse(row);
  if (!parsed.success) {
    return parsed.error.issues.map((issue) => ({
      line,
      column: issue.path.join('.'),
      message: issue.message,
    }));
  }
  const name = row[rowKind.nameColumn]!;
  const table = tables[rowKind.list];
  const merge = rowKind.merge as (value: unknown, known: Item | undefined) => Item;
  table.set(name, merge(parsed.data, table.get(name)));
  origins.set(`${rowKind.list}/${name}`, { line });
  return [];
};

const readRows = (csv: string): Either<readonly CsvFault[], readonly CsvRow[]> => {
  try {
    const options = { columns: true, trim: true, bom: true, info: true, skip_empty_lines: true };
    return Right(parse(csv, options) as unknown as readonly CsvRow[]);
  } catch (cause) {
    const { message, lines = 1 } = cause as { readonly message: string; readonly lines?: number };
    return Left([{ line: lines, column: '', message }]);
  }
};

const convertFault = (
  draft: Readonly<Record<string, unknown>>,
  origins: ReadonlyMap<string, Origin>,
  path: readonly PropertyKey[],
  message: string,
): CsvFault => {
  const [list, index, ...rest] = path;
  const items = draft[String(list)] as readonly Item[] | undefined;
  const name = String(items?.[Number(index)]?.name ?? '');
  const line = origins.get(`${String(list)}/${name}`)?.line ?? 0;
  return { line, column: `${String(list)} '${name}' ${rest.join('.')}`.trim(), message };
};

const resolveInventory = (
  draft: Readonly<Record<string, unknown>>,
  origins: ReadonlyMap<string, Origin>,
): Either<readonly CsvFault[], Inventory> => {
  const parsed = inventorySchema.safeParse(draft);
  const faults = [...(parsed.error?.issues ?? []), ...checkInventory(draft)];
  if (parsed.success && faults.length === 0) return Right(parsed.data);
  return Left(faults.map(({ path, message }) => convertFault(draft, origins, path, message)));
};

/**
 * Merges the rows of a CSV file into an inventory, in order. If any row has a fault, nothing is
 * imported and all faults are returned. Line 0 means an item of the base inventory.
 */
export const mergeCsv = (base: Inventory, csv: string): Either<readonly CsvFault[], Inventory> =>
  readRows(csv).chain((rows) => {
    const tables = createTables(base);
    const origins = new Map<string, Origin>();
    const faults = rows.flatMap((row) => addRow(tables, origins, row));
    const lists = Object.entries(tables).map(([list, table]) => [list, [...table.values()]]);
    const draft = { ...base, ...Object.fromEntries(lists) };
    const resolved = resolveInventory(draft, origins);
    if (faults.length === 0) return resolved;
    return Left([...faults, ...resolved.swap().orDefault([])]);
  });
