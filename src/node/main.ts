import { EXIT_CODES, runCli } from './cli';
import { convertToRouterError } from './errors';

runCli(process.argv).then(
  (code) => {
    // What failed to start may have left ports open or timers running.
    if (code !== EXIT_CODES.ok) process.exit(code);
  },
  (cause) => {
    const { message, step } = convertToRouterError(cause, 'main');
    process.stderr.write(`oleanderfront: ${step}: ${message}\n`);
    process.exit(1);
  },
);
