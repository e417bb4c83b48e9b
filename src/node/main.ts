import { runCli } from './cli';
import { convertToRouterError } from './errors';

runCli(process.argv).then(
  (code) => {
    process.exitCode = code;
  },
  (cause) => {
    const { message, step } = convertToRouterError(cause, 'main');
    process.stderr.write(`oleanderfront: ${step}: ${message}\n`);
    process.exit(1);
  },
);
