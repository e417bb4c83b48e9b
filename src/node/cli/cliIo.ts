/** The output streams and environment variables of a command. */
export interface CliIo {
  readonly writeOut: (text: string) => void;
  readonly writeError: (text: string) => void;
  readonly env: Readonly<Record<string, string | undefined>>;
}

/** Creates the output streams and environment of this process. */
export const createProcessIo = (): CliIo => ({
  writeOut: (text) => {
    process.stdout.write(text);
  },
  writeError: (text) => {
    process.stderr.write(text);
  },
  env: process.env,
});

/** Prints a value as indented JSON. */
export const printJson = (io: CliIo, value: unknown): void => {
  io.writeOut(`${JSON.stringify(value, null, 2)}\n`);
};
