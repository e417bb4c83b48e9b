import { readFileSync } from 'node:fs';
import {
  findNodeAtLocation,
  parse,
  parseTree,
  printParseErrorCode,
  type Node,
  type ParseError,
} from 'jsonc-parser';
import { Left, Right, type Either } from 'purify-ts';
import type { ZodType } from 'zod';

/** One fault of a file, with its place. */
export interface Fault {
  readonly file: string;
  /** Line, counted from 1. */
  readonly line: number;
  readonly path: string;
  readonly message: string;
}

const countLine = (text: string, offset: number): number =>
  text.slice(0, offset).split('\n').length;

/** Formats a fault as `file:line: path: message`. */
export const formatFault = (fault: Fault): string =>
  `${fault.file}:${fault.line}: ${fault.path || '(top)'}: ${fault.message}`;

const findLine = (text: string, tree: Node | undefined, path: readonly PropertyKey[]): number => {
  if (!tree) return 1;
  for (let { length } = path; length > 0; length -= 1) {
    const node = findNodeAtLocation(tree, path.slice(0, length) as (string | number)[]);
    if (node) return countLine(text, node.offset);
  }
  return 1;
};

/** Parses JSON with comments against a schema and gives all faults at once. */
export const parseJsonc = <T>(
  file: string,
  text: string,
  schema: ZodType<T>,
): Either<readonly Fault[], T> => {
  const errors: ParseError[] = [];
  const options = { allowTrailingComma: true };
  const value: unknown = parse(text, errors, options);
  if (errors.length > 0) {
    return Left(
      errors.map((error) => ({
        file,
        line: countLine(text, error.offset),
        path: '',
        message: printParseErrorCode(error.error),
      })),
    );
  }
  const parsed = schema.safeParse(value);
  if (parsed.success) return Right(parsed.data);
  const tree = parseTree(text, [], options);
  return Left(
    parsed.error.issues.map((issue) => ({
      file,
      line: findLine(text, tree, issue.path),
      path: issue.path.join('.'),
      message: issue.message,
    })),
  );
};

/** Reads a file of JSON with comments; a file that cannot be read is a fault too. */
export const readJsonc = <T>(file: string, schema: ZodType<T>): Either<readonly Fault[], T> => {
  try {
    return parseJsonc(file, readFileSync(file, 'utf8'), schema);
  } catch (cause) {
    const message = cause instanceof Error ? cause.message : String(cause);
    return Left([{ file, line: 1, path: '', message }]);
  }
};
