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
  type Fault,
} from '../settings';
import { EXIT_CODES } from './exitCodes';

/** The roles that run from a settings file. */
export type Role = 'entry' | 'agent' | 'control';

interface ResolvedRole {
  readonly node: string;
  readonly logLevel: string;
  readonly services: readonly Service[];
}

const ROLES: Readonly<Record<Role, (file: string) => Either<readonly Fault[], ResolvedRole>>> = {
  entry: (file) =>
    readJsonc(file, entrySettingsSchema).map((settings) => ({
      node: settings.node,
      logLevel: settings.logLevel,
      services: createEntryServices(settings),
    })),
  agent: (file) =>
    readJsonc(file, agentSettingsSchema).map((settings) => ({
      node: settings.node,
      logLevel: settings.logLevel,
      services: createAgentServices(settings),
    })),
  control: (file) =>
    readJsonc(file, controlSettingsSchema).map((settings) => ({
      node: settings.node,
      logLevel: settings.logLevel,
      services: createControlServices(settings),
    })),
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

const createSharedServices = (log: Logger): readonly Service[] => [
  { name: 'log', needs: [], start: () => ({ value: log }) },
  { name: 'metrics', needs: [], start: () => ({ value: createMetrics() }) },
];

const runKernel = async (role: Role, resolved: ResolvedRole): Promise<void> => {
  const log = createRootLogger({ level: resolved.logLevel, node: resolved.node });
  const kernel: Kernel = createKernel([...createSharedServices(log), ...resolved.services]);
  registerSignals(kernel.stop);
  await kernel.start();
  process.stdout.write(`${role} ${resolved.node} ready\n`);
};

/** Runs a role from its settings file until a signal stops it; gives an exit code on failure. */
export const runRole = async (role: Role, file: string): Promise<number> => {
  const resolved = ROLES[role](file);
  return resolved.caseOf<Promise<number>>({
    Left: async (faults) => {
      faults.forEach((fault) => process.stderr.write(`${formatFault(fault)}\n`));
      return EXIT_CODES.invalid;
    },
    Right: async (value) => {
      await runKernel(role, value);
      return EXIT_CODES.ok;
    },
  });
};
