import type { Either } from 'purify-ts';
import { createAgentServices } from '../agent';
import { createControlServices } from '../control';
import { createEntryServices } from '../entry';
import type { Service } from '../kernel';
import { createRootLogger } from '../log';
import { startServices } from '../process';
import {
  agentSettingsSchema,
  controlSettingsSchema,
  entrySettingsSchema,
  formatFault,
  readJsonc,
  resolveConfig,
  type Fault,
  type Role,
} from '../settings';
import type { CliIo } from './cliIo';
import { EXIT_CODES } from './exitCodes';

interface ResolvedRole {
  readonly node: string;
  readonly logLevel: string;
  readonly services: readonly Service[];
}

const ROLES: Readonly<Record<Role, (file: string) => Either<readonly Fault[], ResolvedRole>>> = {
  entry: (file) =>
    readJsonc(file, entrySettingsSchema)
      .chain((settings) => resolveConfig(settings, file))
      .map((config) => ({ ...config, services: createEntryServices(config) })),
  agent: (file) =>
    readJsonc(file, agentSettingsSchema)
      .chain((settings) => resolveConfig(settings, file))
      .map((config) => ({ ...config, services: createAgentServices(config) })),
  control: (file) =>
    readJsonc(file, controlSettingsSchema)
      .chain((settings) => resolveConfig(settings, file))
      .map((config) => ({ ...config, services: createControlServices(config) })),
};

const startRole = async (role: Role, resolved: ResolvedRole, io: CliIo): Promise<void> => {
  const log = createRootLogger({ level: resolved.logLevel, node: resolved.node });
  await startServices(role, log, resolved.services);
  io.writeOut(`${role} ${resolved.node} ready\n`);
};

/** Starts a role from its settings file; a signal stops it. Returns an exit code. */
export const runRole = async (role: Role, file: string, io: CliIo): Promise<number> => {
  const resolved = ROLES[role](file);
  return resolved.caseOf<Promise<number>>({
    Left: async (faults) => {
      faults.forEach((fault) => io.writeError(`${formatFault(fault)}\n`));
      return EXIT_CODES.invalid;
    },
    Right: async (value) => {
      await startRole(role, value, io);
      return EXIT_CODES.ok;
    },
  });
};
