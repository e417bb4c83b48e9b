/** The parts of a JSON schema that are shown on reference pages. */
export interface JsonSchema {
  readonly type?: string;
  readonly description?: string;
  readonly default?: unknown;
  readonly enum?: readonly string[];
  readonly properties?: Readonly<Record<string, JsonSchema>>;
  readonly required?: readonly string[];
  readonly items?: JsonSchema;
}

const formatType = (schema: JsonSchema): string => {
  if (schema.enum) return schema.enum.map((value) => `\`${value}\``).join(', ');
  if (schema.type === 'array') return `list of ${formatType(schema.items ?? {})}`;
  return schema.type ?? 'any';
};

const isPlainDefault = (value: unknown): boolean =>
  value !== undefined && JSON.stringify(value) !== '{}' && JSON.stringify(value) !== '[]';

const formatDefault = (schema: JsonSchema, isRequired: boolean): string => {
  if (isPlainDefault(schema.default)) return `\`${JSON.stringify(schema.default)}\``;
  return isRequired ? 'required' : '';
};

/**
 * Formats one table row for each key of a schema. `findDescription` returns the text of the last
 * column.
 */
export const formatSchemaRows = (
  schema: JsonSchema,
  findDescription: (path: string, schema: JsonSchema) => string,
  prefix = '',
): readonly string[] =>
  Object.entries(schema.properties ?? {}).flatMap(([key, value]) => {
    const path = `${prefix}${key}`;
    const isRequired = schema.required?.includes(key) ?? false;
    const type = formatType(value);
    const cells = [
      `\`${path}\``,
      type,
      formatDefault(value, isRequired),
      findDescription(path, value),
    ];
    const own = formatSchemaRows(value, findDescription, `${path}.`);
    const items = formatSchemaRows(value.items ?? {}, findDescription, `${path}[].`);
    return [`| ${cells.join(' | ')} |`, ...own, ...items];
  });

/** Formats a Markdown table of all keys of a schema. */
export const formatSchemaTable = (
  schema: JsonSchema,
  findDescription: (path: string, schema: JsonSchema) => string,
): string =>
  [
    '| key | type | default | meaning |',
    '| --- | --- | --- | --- |',
    ...formatSchemaRows(schema, findDescription),
  ].join('\n');
