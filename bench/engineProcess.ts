// Runs one stand-in engine in its own process, so that it does not share an event loop with the
// load generator.
import { startStandinEngine, type StandinEngineOptions } from '../src/node/standin';

const options = JSON.parse(process.argv[2] ?? '{}') as StandinEngineOptions;
const engine = await startStandinEngine(options);
process.stdout.write(`${engine.address}\n`);
