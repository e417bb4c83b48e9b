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

/** Creates the logger of one part, with the fixed prefix `part: `. */
export const createPartLogger = (root: Logger, part: LogPart): Logger =>
  root.child({ part }, { msgPrefix: `${part}: ` });
