/**
 * Settings of the operators' command line `filbertwell`, by default in `filbertwell.ini`.
 */
import type {Result} from 'neverthrow';
import {loadSettings, type SettingsSchema, type SettingsValues} from './loadSettings.js';
import {platformSection} from './processSections.js';
import {addressListSetting, textSetting} from './setting.js';
import type {SettingsError} from './settingsError.js';

/** Sections and keys of `filbertwell`. */
export const operatorSettingsSchema = {
	platform: platformSection,
	operator: {
		description: 'Identity of the operator who changes the configuration.',
		keys: {
			author: textSetting({description: 'Author that is recorded in the history. If empty, the name of the user who runs the command.', defaultText: ''}),
		},
	},
	entries: {
		description: 'Connections to entries.',
		keys: {
			adminAddresses: addressListSetting({description: 'Admin addresses of some entries. `status` and `explain` need only one that responds.', defaultText: ''}),
		},
	},
} satisfies SettingsSchema;

/** Settings of the command line, nested by section. */
export type OperatorSettings = SettingsValues<typeof operatorSettingsSchema>;

/**
 * Reads and validates the settings of the command line.
 *
 * @param path - Path of the INI file.
 * @returns The settings, or all errors in the file.
 */
export const loadOperatorSettings = (path: string): Result<OperatorSettings, SettingsError[]> => loadSettings(path, operatorSettingsSchema);
