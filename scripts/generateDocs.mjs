/**
 * Generates the documentation pages of settings and log events from the built code. Run it with `npm run docs`.
 */
import {writeFileSync} from 'node:fs';
import {formatEventPage} from '@filbertwell/logger/eventCatalogue';
import {documentedSettings} from '@filbertwell/settings/documentedSettings';
import {formatSettingsPage} from '@filbertwell/settings/formatSettingsPage';

const pages = [
	{path: 'docs/SETTINGS.md', content: formatSettingsPage(documentedSettings)},
	{path: 'docs/LOG-EVENTS.md', content: formatEventPage()},
];

for (const {path, content} of pages) {
	writeFileSync(path, content);
	console.log(`${path} written`);
}
