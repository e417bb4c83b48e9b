import type { ErrorType, RouterError } from '../errors';
import { SIGNAL_EXIT_CODES } from '../process';

/** Exit codes of the command line. */
export const EXIT_CODES = {
  ...SIGNAL_EXIT_CODES,
  usage: 2,
  invalid: 3,
  conflict: 4,
  unreachable: 5,
} as const;

/** The meanings of the exit codes, for `--help` and the docs. */
export const EXIT_CODE_TEXTS: Readonly<Record<keyof typeof EXIT_CODES, string>> = {
  ok: 'success',
  failed: 'the command failed or was refused',
  usage: 'the command line is invalid',
  invalid: 'a file or value is invalid; all faults are printed',
  conflict: 'another change was accepted first; the message names it',
  unreachable: 'no control host answered, or the time limit passed',
  interrupted: 'stopped by a second signal',
};

const CODE_BY_TYPE: Partial<Readonly<Record<ErrorType, number>>> = {
  invalid_request: EXIT_CODES.invalid,
  conflict: EXIT_CODES.conflict,
  stale_revision: EXIT_CODES.conflict,
  unavailable: EXIT_CODES.unreachable,
  timeout: EXIT_CODES.unreachable,
  peer_failed: EXIT_CODES.unreachable,
};

/** Finds the exit code for an error. */
export const findExitCode = (error: RouterError): number =>
  CODE_BY_TYPE[error.type] ?? EXIT_CODES.failed;
