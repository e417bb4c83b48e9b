import { promisify } from 'node:util';
import { gunzipSync, gzip } from 'node:zlib';
import type { RoutingConfig } from '../routing';

/** A configuration with the text that the operator sent. */
export interface SubmittedConfig {
  readonly config: RoutingConfig;
  /** Reads of the configuration return this text. */
  readonly source: string;
}

/** Command that replaces the configuration. */
export type ReplaceConfigCommand =
  | ({ readonly type: 'replaceConfig' } & SubmittedConfig)
  /** The submitted configuration as gzip-compressed JSON in base64. */
  | { readonly type: 'replaceConfig'; readonly compressed: string };

/**
 * Length of the text above which a configuration is compressed: a plain command holds it about
 * three times, and one above 2 MiB is refused. Earlier releases cannot read compressed commands.
 */
const MAX_PLAIN_CHARACTERS = 512 * 1024;

const compress = promisify(gzip);

/** Creates the command for a configuration. A command holds the configuration and its text. */
export const createReplaceConfig = async (sent: SubmittedConfig): Promise<ReplaceConfigCommand> => {
  if (sent.source.length <= MAX_PLAIN_CHARACTERS) return { type: 'replaceConfig', ...sent };
  const data = await compress(JSON.stringify(sent));
  return { type: 'replaceConfig', compressed: data.toString('base64') };
};

/** Reads the configuration of a command. */
export const readSubmittedConfig = (command: ReplaceConfigCommand): SubmittedConfig => {
  if (!('compressed' in command)) return command;
  const text = gunzipSync(Buffer.from(command.compressed, 'base64')).toString('utf8');
  return JSON.parse(text) as SubmittedConfig;
};
