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
import { z, type ZodType } from 'zod';
import { formatSuggestion } from '../inventory';

/** A fault in a file, with its location. */
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

interface SchemaNode {
  readonly properties?: Readonly<Record<string, SchemaNode>>;
  readonly items?: SchemaNode;
}

const listKnownKeys = (schema: ZodType, path: readonly PropertyKey[]): readonly string[] => {
  const rootSchema = z.toJSONSchema(schema, { io: 'input', unrepresentable: 'any' }) as SchemaNode;
  const schemaNode = path.reduce<SchemaNode | undefined>(
    (node, key) => (typeof key === 'number' ? node?.items : node?.properties?.[String(key)]),
    rootSchema,
  );
  return Object.keys(schemaNode?.properties ?? {});
};

interface PathFault {
  readonly path: readonly PropertyKey[];
  readonly message: string;
}

// Reports each unknown key as its own fault, so that each fault has its own line number.
const listPathFaults = (schema: ZodType, issue: z.core.$ZodIssue): readonly PathFault[] => {
  const { path, message } = issue;
  if (issue.code !== 'unrecognized_keys') return [{ path, message }];
  const known = listKnownKeys(schema, path);
  return issue.keys.map((key) => ({
    path: [...path, key],
    message: `unknown key '${key}'${formatSuggestion(key, known)}`,
  }));
};

/** Checks the parsed value, without schema defaults, for faults that the schema cannot detect. */
export type ValueCheck = (value: unknown) => readonly PathFault[];

/** Parses JSON with comments and validates it by schema and `checkValue`. Returns all faults. */
export const parseJsonc = <T>(
  file: string,
  text: string,
  schema: ZodType<T>,
  checkValue: ValueCheck = () => [],
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
  const issues = parsed.error?.issues ?? [];
  const pathFaults = [
    ...issues.flatMap((issue) => listPathFaults(schema, issue)),
    ...checkValue(value),
  ];
  if (parsed.success && pathFaults.length === 0) return Right(parsed.data);
  const tree = parseTree(text, [], options);
  const faults = pathFaults.map(({ path, message }) => ({
    file,
    line: findLine(text, tree, path),
    path: path.join('.'),
    message,
  }));
  return Left(faults.sort((a, b) => a.line - b.line));
};

/** Reads and validates a file of JSON with comments. An unreadable file is reported as a fault. */
export const readJsonc = <T>(
  file: string,
  schema: ZodType<T>,
  checkValue?: ValueCheck,
): Either<readonly Fault[], T> => {
  try {
    return parseJsonc(file, readFileSync(file, 'utf8'), schema, checkValue);
  } catch (cause) {
    const message = cause instanceof Error ? cause.message : String(cause);
    return Left([{ file, line: 1, path: '', message }]);
  }
};
