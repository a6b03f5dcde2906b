/**
 * Settings of the operators' command line, `filbertwell.ini`.
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
		description: 'Who changes the configuration.',
		keys: {
			author: textSetting({description: 'Name that the history shows. Empty: the name of the user who runs the command.', defaultText: ''}),
		},
	},
	entries: {
		description: 'Where entries answer operators.',
		keys: {
			adminAddresses: addressListSetting({description: 'Admin addresses of some entries. One that answers is enough for `status` and `explain`.', defaultText: ''}),
		},
	},
} satisfies SettingsSchema;

/** Settings of the command line, nested by section. */
export type OperatorSettings = SettingsValues<typeof operatorSettingsSchema>;

/**
 * Reads the settings of the command line.
 *
 * @param path - Path of the INI file.
 * @returns The settings, or all errors of the file.
 */
export const loadOperatorSettings = (path: string): Result<OperatorSettings, SettingsError[]> => loadSettings(path, operatorSettingsSchema);
