// Plots a CSV with the columns x, y and series: npx tsx bench/emulator/plotCsv.ts FILE TITLE X Y

import { readFileSync, writeFileSync } from 'node:fs';
import { formatLines } from './plots';

const [path = '', plot = '', x = '', y = ''] = process.argv.slice(2);
const points = readFileSync(path, 'utf8')
  .trim()
  .split('\n')
  .slice(1)
  .map((line) => line.split(','))
  .map((cells) => ({ x: Number(cells[0]), y: Number(cells[1]), series: cells[2]! }));
writeFileSync(path.replace(/\.csv$/, '.svg'), await formatLines(points, { plot, x, y }));
