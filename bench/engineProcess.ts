// Runs one stand-in engine in a process of its own, so that it does not share a loop with the load tool.
import { startStandinEngine, type StandinEngineOptions } from '../src/node/standin';

const options = JSON.parse(process.argv[2] ?? '{}') as StandinEngineOptions;
const engine = await startStandinEngine(options);
process.stdout.write(`${engine.address}\n`);
