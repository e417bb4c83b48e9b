import { readFileSync } from 'node:fs';

const page = new URL('../../docs/verbs.md', import.meta.url);

/** Reads the verb list from the docs page, so that the lint rule always matches the page. */
export const readVerbs = () =>
  [...readFileSync(page, 'utf8').matchAll(/^\| `([a-z]+)`/gm)].map((match) => match[1]);
