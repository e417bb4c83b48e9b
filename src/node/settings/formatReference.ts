import { z } from 'zod';
import { SETTINGS_SCHEMAS, type Role } from './schema';

interface JsonSchema {
  readonly type?: string;
  readonly description?: string;
  readonly default?: unknown;
  readonly enum?: readonly string[];
  readonly properties?: Readonly<Record<string, JsonSchema>>;
  readonly required?: readonly string[];
  readonly items?: JsonSchema;
}

const ROLE_TEXTS: Readonly<Record<Role, string>> = {
  entry: 'An entry takes requests from callers.',
  agent: 'An agent is the only way to the endpoint beside it.',
  control: 'A control host keeps the state that must survive.',
};

const formatType = (schema: JsonSchema): string => {
  if (schema.enum) return schema.enum.map((value) => `\`${value}\``).join(', ');
  if (schema.type === 'array') return `list of ${formatType(schema.items ?? {})}`;
  return schema.type ?? 'any';
};

const formatDefault = (schema: JsonSchema, isRequired: boolean): string => {
  const isPlain = schema.default !== undefined && typeof schema.default !== 'object';
  if (isPlain) return `\`${JSON.stringify(schema.default)}\``;
  return isRequired ? 'required' : '';
};

const formatRows = (schema: JsonSchema, prefix: string): readonly string[] =>
  Object.entries(schema.properties ?? {}).flatMap(([key, value]) => {
    const path = `${prefix}${key}`;
    const isRequired = schema.required?.includes(key) ?? false;
    const cells = [
      `\`${path}\``,
      formatType(value),
      formatDefault(value, isRequired),
      value.description ?? '',
    ];
    const row = `| ${cells.join(' | ')} |`;
    const inner = value.type === 'array' ? formatRows(value.items ?? {}, `${path}[].`) : [];
    return [row, ...formatRows(value, `${path}.`), ...inner];
  });

const formatRole = (role: Role): string => {
  const schema = z.toJSONSchema(SETTINGS_SCHEMAS[role], { io: 'input' }) as JsonSchema;
  return [
    `## ${role}`,
    '',
    ROLE_TEXTS[role],
    '',
    '| key | type | default | meaning |',
    '| --- | --- | --- | --- |',
    ...formatRows(schema, ''),
  ].join('\n');
};

/** Formats the reference of all settings as a page in Markdown. */
export const formatSettingsReference = (): string =>
  [
    '# Settings',
    '',
    'Generated from the schema by `npm run docs:settings`; a test checks that it is current.',
    '',
    'A process reads one file of JSON with comments: `oleanderfront ROLE --settings FILE`. An unknown key',
    'is an error, and `oleanderfront check FILE...` gives all faults of all files at once, each with',
    'file, line and path. Paths of files are taken from the folder of the settings file.',
    '',
    (Object.keys(SETTINGS_SCHEMAS) as readonly Role[]).map(formatRole).join('\n\n'),
    '',
  ].join('\n');
