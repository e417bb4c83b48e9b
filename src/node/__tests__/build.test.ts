import { execFile } from 'node:child_process';
import { createHash } from 'node:crypto';
import { mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';
import test from 'ava';

const run = promisify(execFile);
const SCRIPT = fileURLToPath(new URL('../../../scripts/build.mjs', import.meta.url));

const computeHash = (file: string): string =>
  createHash('sha256').update(readFileSync(file)).digest('hex');

test('builds from different folders are identical and print the version and commit', async (t) => {
  const hashes: string[] = [];
  for (const cwd of ['/', tmpdir()]) {
    const out = mkdtempSync(join(tmpdir(), 'oleanderfront-build-'));
    await run(process.execPath, [SCRIPT, '--out', out], { cwd });
    const binary = join(out, 'oleanderfront');
    hashes.push(computeHash(binary));
    const { stdout } = await run(binary, ['--version']);
    t.regex(stdout, /^oleanderfront\/\d+\.\d+\.\d+ \(([0-9a-f]{12}(-dirty)?|unknown)\) /);
    rmSync(out, { recursive: true });
  }
  t.is(hashes[0], hashes[1]);
});
