import {
  destination as openDestination,
  pino,
  type DestinationStream,
  type Logger as PinoLogger,
} from 'pino';

/** The logger of a process or of one of its parts. Messages are short sentences. */
export type Logger = PinoLogger;

/** The parts of the system that write logs. */
export type LogPart =
  | 'kernel'
  | 'rpc'
  | 'entry'
  | 'agent'
  | 'control'
  | 'replication'
  | 'ledger'
  | 'lease'
  | 'gateway'
  | 'standin'
  | 'dev'
  | 'decision';

/** Options of a process's root logger. */
export interface LogOptions {
  readonly level: string;
  readonly node: string;
  readonly destination?: DestinationStream;
}

/** Creates the root logger of a process; it writes JSON lines to standard error. */
export const createRootLogger = (options: LogOptions): Logger =>
  pino(
    {
      level: options.level,
      base: { node: options.node },
      timestamp: pino.stdTimeFunctions.isoTime,
      redact: ['authorization', 'headers.authorization', 'key'],
    },
    options.destination ?? openDestination({ fd: 2, sync: false }),
  );

/** Maximum size of the lines buffered for a slow reader; further lines are dropped. */
const OUTPUT_BUFFER_LIMIT_BYTES = 1024 * 1024;
/** Buffered lines are written once they reach this size, or after the flush interval. */
const OUTPUT_MIN_WRITE_BYTES = 4_096;
const OUTPUT_FLUSH_INTERVAL_MS = 250;

/**
 * Opens standard output for log lines. Writes never block: lines are written in batches, and lines
 * are dropped if the reader is too slow. The number of dropped lines is written to standard error.
 */
export const openBoundedOutput = (): DestinationStream => {
  let dropped = 0;
  const output = openDestination({
    fd: 1,
    sync: false,
    minLength: OUTPUT_MIN_WRITE_BYTES,
    maxLength: OUTPUT_BUFFER_LIMIT_BYTES,
    periodicFlush: OUTPUT_FLUSH_INTERVAL_MS,
  });
  output.on('drop', () => {
    dropped += 1;
  });
  output.on('drain', () => {
    if (dropped === 0) return;
    process.stderr.write(
      `log: dropped ${dropped} lines, the reader of standard output was too slow\n`,
    );
    dropped = 0;
  });
  return output;
};

/** Creates the logger of one part. Each message starts with the prefix `part: `. */
export const createPartLogger = (root: Logger, part: LogPart): Logger =>
  root.child({ part }, { msgPrefix: `${part}: ` });
