import { z } from 'zod';
import { formatSchemaTable, type JsonSchema } from '../inventory';
import { SETTINGS_SCHEMAS, type Role } from './schema';

const ROLE_TEXTS: Readonly<Record<Role, string>> = {
  entry: 'An entry takes requests from callers.',
  agent: 'An agent is the only way to the endpoint beside it.',
  control: 'A control host keeps the state that must survive.',
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
