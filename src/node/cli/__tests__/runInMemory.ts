import { runCli } from '..';

/** What a command printed, with its exit code. */
export interface CliRun {
  readonly code: number;
  readonly out: string;
  readonly error: string;
}

/** Runs one command line in this process. */
export const runInMemory = async (
  args: readonly string[],
  env: Readonly<Record<string, string>> = {},
): Promise<CliRun> => {
  const out: string[] = [];
  const error: string[] = [];
  const code = await runCli(['node', 'oleanderfront', ...args], {
    writeOut: (text) => out.push(text),
    writeError: (text) => error.push(text),
    env,
  });
  return { code, out: out.join(''), error: error.join('') };
};
