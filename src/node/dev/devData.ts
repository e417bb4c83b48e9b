import { randomBytes } from 'node:crypto';
import { existsSync, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';

/** The data folder of the quick start and the secrets stored in it. */
export interface DevData {
  readonly folder: string;
  readonly secrets: { readonly internal: string; readonly operator: string };
  /** File that contains the operators' secret. */
  readonly secretFile: string;
  /** Removes the folder if it is temporary. */
  readonly close: () => void;
}

const SECRET_BYTES = 16;
const OWNER_ONLY = 0o600;

const readOrWriteSecret = (file: string): string => {
  if (existsSync(file)) return readFileSync(file, 'utf8').trim();
  const secret = randomBytes(SECRET_BYTES).toString('hex');
  writeFileSync(file, `${secret}\n`, { mode: OWNER_ONLY });
  return secret;
};

/** Opens the given folder, or a temporary one. Reuses secrets that an earlier run wrote there. */
export const openDevData = (dataFolder: string | undefined): DevData => {
  const folder =
    dataFolder === undefined ? mkdtempSync(join(tmpdir(), 'oleanderfront-')) : resolve(dataFolder);
  mkdirSync(folder, { recursive: true });
  const secretFile = join(folder, 'operator-secret');
  const secrets = {
    internal: readOrWriteSecret(join(folder, 'internal-secret')),
    operator: readOrWriteSecret(secretFile),
  };
  const close = (): void => {
    if (dataFolder === undefined) rmSync(folder, { recursive: true, force: true });
  };
  return { folder, secrets, secretFile, close };
};
