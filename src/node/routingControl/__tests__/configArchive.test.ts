import test from 'ava';
import fc from 'fast-check';
import { applyConfigChanges, computeConfigChanges, type RoutingConfig } from '../../routing';
import { createConfig, createRoute } from '../../routing/__tests__/configFixtures';
import { createConfigArchive, decodeConfigChanges, encodeConfigChanges } from '..';

const createNamed = (version: number, names: readonly string[]): RoutingConfig =>
  createConfig(version, {
    routes: names.map((name) => createRoute(name, `/${name}/`)),
    organisations: names.map((name) => ({ name, keys: [name], rank: undefined })),
  });

const createCopy = <T>(value: T): T => JSON.parse(JSON.stringify(value)) as T;

const namesArbitrary = fc.array(fc.constantFrom<string[]>('a', 'b', 'c', 'd', 'e', 'f'), {
  maxLength: 8,
});

test('changes lead from any configuration to any other', async (t) => {
  await fc.assert(
    fc.asyncProperty(namesArbitrary, namesArbitrary, async (before, after) => {
      const archive = createConfigArchive();
      const [held, wanted] = [
        createCopy(createNamed(1, before)),
        createCopy(createNamed(2, after)),
      ];
      archive.add(createCopy(held));
      const from = archive.findLatest()!;
      archive.add(createCopy(wanted));
      const to = archive.findLatest()!;
      const changes = await decodeConfigChanges(
        await encodeConfigChanges(computeConfigChanges(from.config, to.config)),
      );
      t.deepEqual(applyConfigChanges(held, changes), wanted);
      const added = changes.routes.flatMap((part) => ('added' in part ? part.added : []));
      t.true(added.every(({ name }) => !before.includes(name)));
    }),
    { seed: 20261207, numRuns: 500 },
  );
});

test('changes of another configuration are detected', (t) => {
  const changes = computeConfigChanges(createNamed(1, []), createNamed(2, []));
  const kept = { ...changes, routes: [{ kept: [1, 2] as const }] };
  t.throws(() => applyConfigChanges(createNamed(1, ['a', 'b']), kept), { instanceOf: RangeError });
});

const digestCases: readonly {
  readonly name: string;
  readonly version: number;
  readonly names: readonly string[];
  readonly isSame: boolean;
}[] = [
  { name: 'the same content', version: 1, names: ['a', 'b'], isSame: true },
  { name: 'another version', version: 2, names: ['a', 'b'], isSame: false },
  { name: 'another order', version: 1, names: ['b', 'a'], isSame: false },
  { name: 'a repeated item', version: 1, names: ['a', 'b', 'b'], isSame: false },
];

for (const { name, version, names, isSame } of digestCases) {
  test(`the digest of a configuration: ${name}`, (t) => {
    const archives = [createConfigArchive(), createConfigArchive()];
    archives[0]!.add(createNamed(1, ['a', 'b']));
    archives[1]!.add(createNamed(9, ['c']));
    archives[1]!.add(createNamed(version, names));
    const [first, second] = archives.map((archive) => archive.findLatest()!.id.digest);
    t.is(first === second, isSame);
  });
}

test('the same configuration again, as after the restore of a snapshot, is not added', (t) => {
  const archive = createConfigArchive();
  archive.add(createNamed(1, ['a']));
  const first = archive.findLatest();
  archive.add(createNamed(1, ['a']));
  t.is(archive.findLatest(), first);
});

const listNames = (start: number, count: number): readonly string[] =>
  Array.from({ length: count }, (_item, index) => `n${start + index}`);

const retentionCases: readonly {
  readonly name: string;
  readonly versions: number;
  readonly listRoutes: (version: number) => readonly string[];
  readonly retained: number;
}[] = [
  {
    name: 'one route more each time',
    versions: 50,
    listRoutes: (version) => listNames(0, version),
    retained: 32,
  },
  {
    name: 'many other routes each time',
    versions: 5,
    listRoutes: (version) => listNames(version * 2_000, 2_000),
    retained: 2,
  },
  {
    name: 'few other routes each time',
    versions: 5,
    listRoutes: (version) => listNames(version * 10, 10),
    retained: 5,
  },
];

for (const { name, versions, listRoutes, retained } of retentionCases) {
  test(`versions that an archive retains: ${name}`, (t) => {
    const archive = createConfigArchive();
    const digests = Array.from({ length: versions }, (_item, index) => {
      archive.add(createNamed(index + 1, listRoutes(index + 1)));
      return archive.findLatest()!.id.digest;
    });
    t.is(digests.filter((digest) => archive.find(digest)).length, retained);
    t.not(archive.find(digests.at(-1)!), undefined);
  });
}
