import { startStandinEngine, startStandinRating, startStandinService } from '../src/node/standin';

interface Stoppable {
  readonly stop: () => Promise<void>;
}

const HOST = '127.0.0.1';
const SMALL = ['v1', 'v2'].map((version) => ({ model: 'small', version }));
const LARGE = [{ model: 'large', version: 'v1' }];
const SCORES: Readonly<Record<string, number>> = { small: 0.7, large: 0.95 };

const startEngine = (number: number, serves: typeof SMALL) => (): Promise<Stoppable> =>
  startStandinEngine({
    endpoint: `engine-${number}`,
    listen: { host: HOST, port: 7_340 + number },
    agentAddress: `${HOST}:${7_330 + number}`,
    serves,
  });

/** The stand-ins by name. Each one runs in a separate process. */
const STANDINS: Readonly<Record<string, () => Promise<Stoppable>>> = {
  'engine-1': startEngine(1, [...SMALL, ...LARGE]),
  'engine-2': startEngine(2, SMALL),
  'engine-3': startEngine(3, LARGE),
  bookings: () =>
    startStandinService({
      endpoint: 'bookings-1',
      service: 'bookings',
      listen: { host: HOST, port: 7_344 },
      agentAddress: `${HOST}:7334`,
    }),
  rating: () =>
    startStandinRating({ host: HOST, port: 7_350 }, ({ model }) => SCORES[model] ?? 0.5),
};

const name = process.argv[2] ?? '';
const start = STANDINS[name];
if (!start) {
  process.stderr.write(
    `unknown stand-in '${name}'; use one of ${Object.keys(STANDINS).join(', ')}\n`,
  );
  process.exit(2);
}
const standin = await start();
process.stdout.write(`${name} ready\n`);
const handleSignal = (): void => {
  standin.stop().then(() => process.exit(0));
};
process.once('SIGTERM', handleSignal);
process.once('SIGINT', handleSignal);
