/** Imports that are not allowed, imports of types included; ESLint's own rule sees values only. */
module.exports = {
  forbidden: [
    {
      name: 'no-circles',
      comment: 'Message schemas and record types stand in shared, or beside their owner, one way.',
      severity: 'error',
      from: {},
      to: { circular: true },
    },
    {
      name: 'platform-is-a-leaf',
      comment: "The platform's words stay in its folder.",
      severity: 'error',
      from: { pathNot: '^platform/|/__tests__/' },
      to: { path: '^platform/' },
    },
  ],
  options: {
    tsPreCompilationDeps: true,
    tsConfig: { fileName: 'tsconfig.json' },
    doNotFollow: { path: 'node_modules' },
  },
};
