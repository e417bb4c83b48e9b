import { convertToRouterError } from '../errors';
import { createKernel, type Service } from '../kernel';
import { createPartLogger, createRootLogger, openBoundedOutput, type Logger } from '../log';
import { createMetrics, type MetricRole } from '../metrics';
import { listChangedSettings } from './listChangedSettings';

/** Exit codes of a process that is stopped by a signal. */
export const SIGNAL_EXIT_CODES = { ok: 0, failed: 1, interrupted: 130 } as const;

/**
 * Calls `stop` on the first SIGTERM or SIGINT. A second SIGINT exits immediately, a second SIGTERM
 * does not: a provider may repeat it, and the stop delivers what was accepted.
 */
export const registerSignals = (stop: () => Promise<void>): void => {
  let isStopping = false;
  const handleSignal = (signal: NodeJS.Signals): void => {
    if (isStopping && signal === 'SIGINT') process.exit(SIGNAL_EXIT_CODES.interrupted);
    if (isStopping) return;
    isStopping = true;
    stop().then(
      () => process.exit(SIGNAL_EXIT_CODES.ok),
      () => process.exit(SIGNAL_EXIT_CODES.failed),
    );
  };
  process.on('SIGTERM', handleSignal);
  process.on('SIGINT', handleSignal);
};

const createSharedServices = (role: MetricRole, log: Logger): readonly Service[] => [
  { name: 'log', dependencies: [], start: () => ({ value: log }) },
  { name: 'metrics', dependencies: [], start: () => ({ value: createMetrics(role) }) },
];

/** Starts services with a logger and metrics; a signal stops them and ends the process. */
export const startServices = async (
  role: MetricRole,
  log: Logger,
  services: readonly Service[],
): Promise<void> => {
  const kernel = createKernel([...createSharedServices(role, log), ...services]);
  registerSignals(kernel.stop);
  await kernel.start();
};

/** What a process runs. */
export interface ProcessOptions {
  readonly role: MetricRole;
  readonly node: string;
  readonly services: readonly Service[];
  /** Reads the settings anew; throws if they cannot be read. */
  readonly readSettings: () => unknown;
}

// Settings apply to sockets, leases and budgets that are in use, so a running process keeps its own.
const registerSettingsCheck = (
  log: Logger,
  { role, readSettings }: ProcessOptions,
  running: unknown,
): void => {
  process.on('SIGHUP', () => {
    try {
      const changed = listChangedSettings(running, readSettings());
      if (changed.length === 0) log.info({ role }, 'received SIGHUP; no setting has changed');
      else log.warn({ role, changed }, 'received SIGHUP; these settings apply from the next start');
    } catch (cause) {
      const err = convertToRouterError(cause, 'process.settings');
      log.error({ role, err }, 'received SIGHUP; the settings cannot be read');
    }
  });
};

/** Runs services of a deployment until a signal stops them; log lines go to standard output. */
export const runServices = async (options: ProcessOptions): Promise<void> => {
  const { role, node, services, readSettings } = options;
  const log = createRootLogger({ level: 'info', node, destination: openBoundedOutput() });
  const processLog = createPartLogger(log, 'kernel');
  processLog.info({ role, pid: process.pid }, 'starting');
  registerSettingsCheck(processLog, options, readSettings());
  await startServices(role, log, services);
  processLog.info({ role }, 'started');
};
