import { readFileSync } from 'node:fs';
import { dirname, resolve } from 'node:path';
import { Left, Right, type Either } from 'purify-ts';
import type { RpcClientOptions, TlsCredentials } from '../rpc';
import type { Fault } from './loadJsonc';
import type { AgentSettings, ControlSettings, EntrySettings, TlsFiles } from './schema';

/** The TLS settings with the texts of the PEM files. */
export interface ResolvedTls {
  /** Credentials of the internal port. */
  readonly internal?: TlsCredentials;
  /** Credentials of the callers' port of an entry. */
  readonly callers?: TlsCredentials;
  /** Credentials of the operators' port of a control host. */
  readonly operators?: TlsCredentials;
  /** Certificate of the authority that signed the peers' certificates. */
  readonly certificateAuthority?: string;
}

/** Settings with resolved paths and loaded TLS files. Ports without credentials use plain HTTP. */
export type ResolvedSettings<Settings> = Settings & { readonly portTls?: ResolvedTls };

/** The resolved settings of an entry. */
export type EntryConfig = ResolvedSettings<EntrySettings>;
/** The resolved settings of an agent. */
export type AgentConfig = ResolvedSettings<AgentSettings>;
/** The resolved settings of a control host. */
export type ControlConfig = ResolvedSettings<ControlSettings>;

type AnySettings = EntrySettings | AgentSettings | ControlSettings;

type FileReader = (path: string) => string;

const readTlsCredentials = (
  files: TlsFiles | undefined,
  path: string,
  readText: (file: string, path: string) => string,
): TlsCredentials | undefined =>
  files && {
    key: readText(files.keyFile, `${path}.keyFile`),
    cert: readText(files.certFile, `${path}.certFile`),
  };

/**
 * Resolves settings: paths are relative to the folder of the settings file, and the TLS files are
 * read. Returns all faults at once.
 */
export const resolveConfig = <Settings extends AnySettings>(
  settings: Settings,
  settingsFile: string,
  readFile: FileReader = (path) => readFileSync(path, 'utf8'),
): Either<readonly Fault[], ResolvedSettings<Settings>> => {
  const folder = dirname(resolve(settingsFile));
  const faults: Fault[] = [];
  const readText = (file: string, path: string): string => {
    try {
      return readFile(resolve(folder, file));
    } catch (cause) {
      const message = cause instanceof Error ? cause.message : String(cause);
      faults.push({ file: settingsFile, line: 1, path, message });
      return '';
    }
  };
  const callers = 'callerTls' in settings ? settings.callerTls : undefined;
  const operators = 'operatorTls' in settings ? settings.operatorTls : undefined;
  const portTls: ResolvedTls = {
    internal: readTlsCredentials(settings.tls, 'tls', readText),
    callers: readTlsCredentials(callers, 'callerTls', readText),
    operators: readTlsCredentials(operators, 'operatorTls', readText),
    certificateAuthority: settings.tls?.caFile && readText(settings.tls.caFile, 'tls.caFile'),
  };
  if (faults.length > 0) return Left(faults);
  const dataFolder = 'data' in settings ? { data: resolve(folder, settings.data) } : {};
  return Right({ ...settings, ...dataFolder, portTls });
};

/** Returns the options of the RPC client that calls this process's peers. */
export const resolveRpcOptions = (config: ResolvedSettings<AnySettings>): RpcClientOptions => ({
  secret: config.secrets.internal,
  scheme: config.portTls?.internal ? 'https' : 'http',
  certificateAuthority: config.portTls?.certificateAuthority,
});
