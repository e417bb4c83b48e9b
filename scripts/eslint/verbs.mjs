import { readFileSync } from 'node:fs';

const page = new URL('../../docs/verbs.md', import.meta.url);

/** Reads the verb list from the docs page, so that the page and the lint rule cannot differ. */
export const readVerbs = () =>
  [...readFileSync(page, 'utf8').matchAll(/^\| `([a-z]+)`/gm)].map((match) => match[1]);
