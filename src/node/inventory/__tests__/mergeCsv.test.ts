import test from 'ava';
import { inventorySchema, mergeCsv, type CsvFault } from '..';

const EMPTY = inventorySchema.parse({ zones: [], models: [], organisations: [] });

const CSV = `kind,name,region,zone,address,host,model,version,service,input_cost,output_cost,organisation,key_hash
zone,leon,bajio,,,,,,,,,,
host,h1,,leon,10.0.0.1,,,,,,,,
model,small,,,,,,v1,,0.1,0.2,,
version,v2,,,,,small,,,,,,
service,bookings,,,,,,,,,,,
endpoint,e1,,,,h1,small,v1,,,,,
organisation,crew,,,,,,,,,,,${'a'.repeat(64)}
allow,,,,,,small,v1,,,,crew,
allow,,,,,,small,v2,,,,crew,
allow,,,,,,,,bookings,,,crew,
`;

test('CSV import: rows of every kind are merged', (t) => {
  const inventory = mergeCsv(EMPTY, CSV).unsafeCoerce();
  t.is(inventory.hosts[0]?.zone, 'leon');
  t.deepEqual(
    inventory.models[0]?.versions.map(({ name }) => name),
    ['v1', 'v2'],
  );
  t.deepEqual(inventory.endpoints[0]?.load, [{ model: 'small', version: 'v1' }]);
  t.deepEqual(inventory.organisations[0]?.models, [{ name: 'small', versions: ['v1', 'v2'] }]);
  t.deepEqual(inventory.organisations[0]?.services, ['bookings']);
});

test('CSV import: items that the file does not name are kept', (t) => {
  const first = mergeCsv(EMPTY, CSV).unsafeCoerce();
  const csv = 'kind,name,version,input_cost,output_cost\nmodel,small,v2,0.3,0.4\n';
  const second = mergeCsv(first, csv).unsafeCoerce();
  t.is(second.models[0]?.stableVersion, 'v2');
  t.is(second.models[0]?.versions.length, 2);
  t.deepEqual(second.organisations, first.organisations);
});

const readFaults = (csv: string): readonly CsvFault[] => mergeCsv(EMPTY, csv).swap().orDefault([]);

test('CSV import: every invalid row is reported with its line', (t) => {
  const faults = readFaults(
    [
      'kind,name,region,zone,address,version,input_cost,output_cost',
      'zone,leon,bajio,,,,,',
      'zoen,leon,bajio,,,,,',
      'host,h1,,leno,10.0.0.1,,,',
      'model,small,,,,v1,cheap,1',
      'host,,,leon,10.0.0.2,,,',
    ].join('\n'),
  );
  t.deepEqual(
    faults.map(({ line, column }) => [line, column]),
    [
      [3, 'kind'],
      [5, 'input_cost'],
      [6, 'name'],
      [4, "hosts 'h1' zone"],
    ],
  );
  t.regex(faults[0]!.message, /did you mean 'zone'/);
});

test('CSV import: a row with too many cells is reported with its line', (t) => {
  const [fault] = readFaults('kind,name\nzone,leon\nzone,leon,bajio,more\n');
  t.is(fault?.line, 3);
});
