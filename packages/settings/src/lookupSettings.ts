/**
 * Settings of `filbertwell-lookup`.
 */
import type {Result} from 'neverthrow';
import {loadSettings, type SettingsSchema, type SettingsValues} from './loadSettings.js';
import {
	adminSection,
	callersSection,
	configurationSection,
	logSection,
	membershipSection,
	peersSection,
	platformSection,
	processSection,
	stopSection,
} from './processSections.js';
import type {SettingsError} from './settingsError.js';
import {withSite, type WithSite} from './withSite.js';

/** Sections and keys of `filbertwell-lookup`. */
export const lookupSettingsSchema = {
	process: processSection,
	callers: callersSection,
	admin: adminSection,
	peers: peersSection,
	platform: platformSection,
	configuration: configurationSection,
	membership: membershipSection,
	stop: stopSection,
	log: logSection,
} satisfies SettingsSchema;

/** Settings of a look-up process, nested by section. */
export type LookupSettings = WithSite<SettingsValues<typeof lookupSettingsSchema>>;

/**
 * Reads and validates the settings of a look-up process.
 *
 * @param path - Path of the INI file.
 * @returns The settings, or all errors in the file.
 */
export const loadLookupSettings = (path: string): Result<LookupSettings, SettingsError[]> => loadSettings(path, lookupSettingsSchema).map(values => withSite(values));
