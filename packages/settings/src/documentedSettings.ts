/**
 * Lists the programs with settings, in the order of the page docs/SETTINGS.md.
 */
import {entrySettingsSchema} from './entrySettings.js';
import type {DocumentedSettings} from './formatSettingsPage.js';
import {gatewaySettingsSchema} from './gatewaySettings.js';
import {lookupSettingsSchema} from './lookupSettings.js';
import {operatorSettingsSchema} from './operatorSettings.js';

/** All programs with settings and their schemas. */
export const documentedSettings: readonly DocumentedSettings[] = [
	{
		program: 'filbertwell-entry',
		introduction: 'Settings are read once at start. `filbertwell-entry --settings FILE --check-settings` validates a file and exits.',
		schema: entrySettingsSchema,
	},
	{
		program: 'filbertwell-lookup',
		introduction: 'The settings of an entry without the limits of the request path.',
		schema: lookupSettingsSchema,
	},
	{
		program: 'filbertwell-gateway',
		introduction: 'The gateway for endpoints that register themselves. Settings are read at start, on SIGHUP and when the file changes; changed addresses take effect only after a restart.',
		schema: gatewaySettingsSchema,
	},
	{
		program: 'filbertwell',
		introduction: 'Settings are read from `filbertwell.ini` in the working directory or from the file given by `--settings`.',
		schema: operatorSettingsSchema,
	},
];
