import { readVerbs } from './verbs.mjs';

const verbs = new Set(readVerbs());
const readFirstWord = (name) => /^[a-z]+/.exec(name)?.[0] ?? '';

const verbFirst = {
  meta: {
    type: 'suggestion',
    schema: [],
    messages: { verb: "function '{{name}}' must begin with a verb from docs/verbs.md" },
  },
  create: (context) => {
    const checkName = (node, name) => {
      if (!verbs.has(readFirstWord(name))) {
        context.report({ node, messageId: 'verb', data: { name } });
      }
    };
    return {
      FunctionDeclaration: (node) => {
        if (node.id) checkName(node.id, node.id.name);
      },
      VariableDeclarator: (node) => {
        const kind = node.init?.type;
        const isFunction = kind === 'ArrowFunctionExpression' || kind === 'FunctionExpression';
        if (isFunction && node.id.type === 'Identifier') checkName(node.id, node.id.name);
      },
    };
  },
};

const isDocumented = (sourceCode, node) =>
  sourceCode
    .getCommentsBefore(node)
    .some((comment) => comment.type === 'Block' && comment.value.startsWith('*'));

const documentedExport = {
  meta: {
    type: 'suggestion',
    schema: [],
    messages: { doc: 'an export must have a short doc comment' },
  },
  create: (context) => ({
    ExportNamedDeclaration: (node) => {
      if (node.declaration && !isDocumented(context.sourceCode, node)) {
        context.report({ node, messageId: 'doc' });
      }
    },
  }),
};

/** The project's lint rules: function names start with a listed verb, exports have doc comments. */
export const projectPlugin = {
  rules: { 'verb-first': verbFirst, 'documented-export': documentedExport },
};
