import { execFileSync } from 'node:child_process';
import { readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import test from 'ava';
import { getFileInfo } from 'prettier';

const ROOT = fileURLToPath(new URL('../../../../', import.meta.url));
const IGNORE_FILES = ['.gitignore', '.prettierignore'].map((name) => `${ROOT}${name}`);

/** Ways in which a command of the README names a folder or file that it writes. */
const WRITTEN_PATH = /(?:--data|>) ([\w./-]+)/g;

const listWrittenPaths = (): readonly string[] =>
  [...readFileSync(`${ROOT}README.md`, 'utf8').matchAll(/^```sh\n([^]*?)^```$/gm)].flatMap(
    ([, block]) => [...block!.matchAll(WRITTEN_PATH)].map(([, path]) => path!),
  );

// The format check of the README's test command failed after its first steps.
test('files that the commands of the README write are left out of the checks', async (t) => {
  const paths = listWrittenPaths();
  t.deepEqual(paths, ['dev-data', 'inventory.jsonc']);
  const files = paths.map((path) => (path.includes('.') ? path : `${path}/state/config.json`));
  for (const file of files) {
    const { ignored } = await getFileInfo(`${ROOT}${file}`, { ignorePath: IGNORE_FILES });
    t.true(ignored, file);
    const listed = execFileSync('git', ['check-ignore', file], { cwd: ROOT, encoding: 'utf8' });
    t.is(listed.trim(), file);
  }
});
