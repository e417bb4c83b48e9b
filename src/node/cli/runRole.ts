import type { Either } from 'purify-ts';
import { createAgentServices } from '../agent';
import { createControlServices } from '../control';
import { createEntryServices } from '../entry';
import { createKernel, type Kernel, type Service } from '../kernel';
import { createRootLogger, type Logger } from '../log';
import { createMetrics } from '../metrics';
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

/** Stops on the first SIGTERM or SIGINT, and ends at once on the second. */
export const registerSignals = (stop: () => Promise<void>): void => {
  let isStopping = false;
  const handleSignal = (): void => {
    if (isStopping) process.exit(EXIT_CODES.interrupted);
    isStopping = true;
    stop().then(
      () => process.exit(EXIT_CODES.ok),
      () => process.exit(EXIT_CODES.failed),
    );
  };
  process.on('SIGTERM', handleSignal);
  process.on('SIGINT', handleSignal);
};

const createSharedServices = (role: Role, log: Logger): readonly Service[] => [
  { name: 'log', needs: [], start: () => ({ value: log }) },
  { name: 'metrics', needs: [], start: () => ({ value: createMetrics(role) }) },
];

const runKernel = async (role: Role, resolved: ResolvedRole, io: CliIo): Promise<void> => {
  const log = createRootLogger({ level: resolved.logLevel, node: resolved.node });
  const kernel: Kernel = createKernel([...createSharedServices(role, log), ...resolved.services]);
  registerSignals(kernel.stop);
  await kernel.start();
  io.writeOut(`${role} ${resolved.node} ready\n`);
};

/** Runs a role from its settings file until a signal stops it; gives an exit code on failure. */
export const runRole = async (role: Role, file: string, io: CliIo): Promise<number> => {
  const resolved = ROLES[role](file);
  return resolved.caseOf<Promise<number>>({
    Left: async (faults) => {
      faults.forEach((fault) => io.writeError(`${formatFault(fault)}\n`));
      return EXIT_CODES.invalid;
    },
    Right: async (value) => {
      await runKernel(role, value, io);
      return EXIT_CODES.ok;
    },
  });
};
