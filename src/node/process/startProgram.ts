import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import Module, { createRequire } from 'node:module';
import { join } from 'node:path';
import { Script } from 'node:vm';

/** What the program's bundle exports. */
interface ProgramExports {
  readonly runProgram?: () => void;
}

/** A compiled program, and how it was compiled. */
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

// V8 takes a cache only from a process with the same flags, so each set of flags has its own.
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

/** Writes the compiled form of the program in a folder, for processes with the flags of this one. */
export const writeCodeCache = (folder: string): void => {
  const program = createScript(folder, undefined);
  runScript(program, folder);
  writeFileSync(formatCachePath(folder, process.execArgv), program.script.createCachedData());
};

/**
 * Runs the program in a folder. Its compiled form makes a restart shorter, which callers wait for
 * after a failure; without one the program is compiled anew.
 */
export const startProgram = (folder: string): void => {
  const cachedData = readCache(folder);
  const program = createScript(folder, cachedData);
  if (!cachedData || program.script.cachedDataRejected) {
    process.stderr.write('code cache: none fits these flags, the program was compiled anew\n');
  }
  const { runProgram } = runScript(program, folder);
  if (!runProgram) throw new Error(`${program.path} exports no runProgram`);
  runProgram();
};
