import {
  destination as openDestination,
  pino,
  type DestinationStream,
  type Logger as PinoLogger,
} from 'pino';

/** A logger of one part: short sentences, each behind the part's prefix. */
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

/** How a process logs. */
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

/** Bytes of lines that wait for a slow reader; more than these are left out. */
const OUTPUT_BUFFER_LIMIT_BYTES = 1024 * 1024;
/** Lines are written together once this many bytes wait, or after the interval. */
const OUTPUT_MIN_WRITE_BYTES = 4_096;
const OUTPUT_FLUSH_INTERVAL_MS = 250;

/**
 * Opens standard output for log lines. It never blocks: lines are written in batches, and a reader
 * that is too slow makes lines fall away, of which a line on standard error tells the number.
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
    process.stderr.write(`log: ${dropped} lines were left out, the reader was too slow\n`);
    dropped = 0;
  });
  return output;
};

/** Creates the logger of one part, with the fixed prefix `part: `. */
export const createPartLogger = (root: Logger, part: LogPart): Logger =>
  root.child({ part }, { msgPrefix: `${part}: ` });
