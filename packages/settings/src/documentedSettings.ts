/**
 * All programs with settings, in the order of the page.
 */
import {entrySettingsSchema} from './entrySettings.js';
import type {DocumentedSettings} from './formatSettingsPage.js';
import {gatewaySettingsSchema} from './gatewaySettings.js';
import {lookupSettingsSchema} from './lookupSettings.js';
import {operatorSettingsSchema} from './operatorSettings.js';

/** All programs with settings. */
export const documentedSettings: readonly DocumentedSettings[] = [
	{
		program: 'filbertwell-entry',
		introduction: 'Read once at start. `filbertwell-entry --settings FILE --check-settings` checks a file and ends.',
		schema: entrySettingsSchema,
	},
	{
		program: 'filbertwell-lookup',
		introduction: 'As for the entry, without the bounds of the request path.',
		schema: lookupSettingsSchema,
	},
	{
		program: 'filbertwell-gateway',
		introduction: 'The instance for endpoints that register themselves. Read at start, on SIGHUP and when the file changes; addresses take effect at a start only.',
		schema: gatewaySettingsSchema,
	},
	{
		program: 'filbertwell',
		introduction: '`filbertwell.ini` in the working directory, or another file by `--settings`.',
		schema: operatorSettingsSchema,
	},
];
