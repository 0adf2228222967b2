/** Regenerates the tables of docs/CAPACITY.md from the measured slopes. */
import {readFileSync, writeFileSync} from 'node:fs';

import {fillPage} from './page.js';
import {loadReport, resolveSlopes} from './slopes.js';
import {
  renderAgent,
  renderEntry,
  renderPlatform,
  renderSlopes,
} from './tables.js';

const PAGE = 'docs/CAPACITY.md';
const MEASURED = 'docs/measurements/slopes.json';

const report = loadReport(MEASURED);
const slopes = resolveSlopes(report);
const page = fillPage({
  page: readFileSync(PAGE, 'utf8'),
  tables: [
    {name: 'slopes', text: renderSlopes(report)},
    {name: 'entry', text: renderEntry(slopes)},
    {name: 'agent', text: renderAgent(slopes)},
    {name: 'platform', text: renderPlatform(slopes)},
  ],
});
writeFileSync(PAGE, page);
