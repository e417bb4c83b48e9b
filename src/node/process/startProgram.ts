import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import Module, { createRequire } from 'node:module';
import { join } from 'node:path';
import { Script } from 'node:vm';

/** The exports of the program's bundle. */
interface ProgramExports {
  readonly runProgram?: () => void;
}

/** A compiled program and the path of its source. */
interface CompiledProgram {
  readonly script: Script;
  readonly path: string;
}

type ModuleWrapper = (
  exports: ProgramExports,
  require: NodeJS.Require,
  module: { exports: ProgramExports },
  filename: string,
  dirname: string,
) => void;

const PROGRAM_FILE = 'program.cjs';

// V8 rejects a code cache created under other flags, so each set of flags has its own file.
const formatCachePath = (folder: string, flags: readonly string[]): string =>
  join(folder, `program${flags.join('').replaceAll(/[^\w-]/g, '_')}.cache`);

const createScript = (folder: string, cachedData: Buffer | undefined): CompiledProgram => {
  const path = join(folder, PROGRAM_FILE);
  const source = Module.wrap(readFileSync(path, 'utf8'));
  return { script: new Script(source, { filename: path, cachedData }), path };
};

const runScript = ({ script, path }: CompiledProgram, folder: string): ProgramExports => {
  const programModule = { exports: {} };
  const evaluate = script.runInThisContext() as ModuleWrapper;
  evaluate(programModule.exports, createRequire(path), programModule, path, folder);
  return programModule.exports;
};

const readCache = (folder: string): Buffer | undefined => {
  const path = formatCachePath(folder, process.execArgv);
  return existsSync(path) ? readFileSync(path) : undefined;
};

/** Writes the code cache of the program in a folder, for processes with the same flags as this. */
export const writeCodeCache = (folder: string): void => {
  const program = createScript(folder, undefined);
  runScript(program, folder);
  writeFileSync(formatCachePath(folder, process.execArgv), program.script.createCachedData());
};

/**
 * Runs the program in a folder. The code cache shortens the restart after a failure, during which
 * callers wait. Without a valid cache, the program is compiled from source.
 */
export const startProgram = (folder: string): void => {
  const cachedData = readCache(folder);
  const program = createScript(folder, cachedData);
  if (!cachedData || program.script.cachedDataRejected) {
    process.stderr.write(
      'code cache: no valid cache for these flags; compiled the program from source\n',
    );
  }
  const { runProgram } = runScript(program, folder);
  if (!runProgram) throw new Error(`${program.path} exports no runProgram`);
  runProgram();
};
