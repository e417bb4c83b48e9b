/** Exit codes of the command line. */
export const EXIT_CODES = {
  ok: 0,
  failed: 1,
  usage: 2,
  invalid: 3,
  conflict: 4,
  unreachable: 5,
  interrupted: 130,
} as const;
