import { z } from 'zod';
import { formatSchemaTable, type JsonSchema } from '../inventory';
import { SETTINGS_SCHEMAS, type Role } from './schema';

const ROLE_TEXTS: Readonly<Record<Role, string>> = {
  entry: 'An entry accepts requests from callers.',
  agent: 'An agent runs beside an endpoint; all requests to the endpoint go through it.',
  control: 'A control host stores the durable state.',
};

const formatRole = (role: Role): string => {
  const schema = z.toJSONSchema(SETTINGS_SCHEMAS[role], { io: 'input' }) as JsonSchema;
  return [
    `## ${role}`,
    '',
    ROLE_TEXTS[role],
    '',
    formatSchemaTable(schema, (_path, { description }) => description ?? ''),
  ].join('\n');
};

/** Formats the settings reference as a Markdown page. */
export const formatSettingsReference = (): string =>
  [
    '# Settings',
    '',
    'Generated from the schema by `npm run docs:settings`; a test checks that the page is current.',
    '',
    'A process reads one file of JSON with comments: `oleanderfront ROLE --settings FILE`. An unknown key',
    'is an error, and `oleanderfront check FILE...` reports all faults of all files at once, each',
    'with file, line and path. File paths are relative to the folder of the settings file.',
    '',
    (Object.keys(SETTINGS_SCHEMAS) as readonly Role[]).map(formatRole).join('\n\n'),
    '',
  ].join('\n');
