import { existsSync, mkdtempSync, readdirSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import { startProgram, writeCodeCache } from '../startProgram';

interface GlobalWithMarker {
  marker?: string;
}

const createFolder = (source: string): string => {
  const folder = mkdtempSync(join(tmpdir(), 'program-'));
  writeFileSync(join(folder, 'program.cjs'), source);
  return folder;
};

const cases = [
  { name: 'with a code cache', hasCache: true, isChanged: false },
  { name: 'without a code cache', hasCache: false, isChanged: false },
  { name: 'with the code cache of another program', hasCache: true, isChanged: true },
] as const;

for (const { name, hasCache, isChanged } of cases) {
  test.serial(`a program runs ${name}`, (t) => {
    const createSource = (marker: string): string =>
      `exports.runProgram = () => { globalThis.marker = '${marker}' + require('node:path').sep; };`;
    const folder = createFolder(createSource('first'));
    if (hasCache) writeCodeCache(folder);
    t.is(
      readdirSync(folder).some((file) => file.endsWith('.cache')),
      hasCache,
    );
    if (isChanged) writeFileSync(join(folder, 'program.cjs'), createSource('second, longer'));
    startProgram(folder);
    t.regex((globalThis as GlobalWithMarker).marker ?? '', isChanged ? /^second/ : /^first/);
    rmSync(folder, { recursive: true });
  });
}

test.serial('writing the code cache does not run the program', (t) => {
  const folder = createFolder("exports.runProgram = () => { throw new Error('ran'); };");
  writeCodeCache(folder);
  t.true(existsSync(folder));
  t.throws(() => startProgram(folder), { message: 'ran' });
  rmSync(folder, { recursive: true });
});

test.serial('a bundle without runProgram fails with an error that names it', (t) => {
  const folder = createFolder('exports.other = 1;');
  t.throws(() => startProgram(folder), { message: /exports no runProgram/ });
  rmSync(folder, { recursive: true });
});
