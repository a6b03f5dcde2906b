/**
 * Settings of `filbertwell-entry`.
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
import {bytesSetting, countSetting, millisecondsSetting} from './setting.js';
import type {SettingsError} from './settingsError.js';
import {withSite, type WithSite} from './withSite.js';

const limitsSection = {
	description: 'Limits that protect the process from overload.',
	keys: {
		maximumHeaderBytes: bytesSetting({
			description: 'Maximum size of a request\'s headers.', defaultText: '16384', minimum: 1024, maximum: 1_048_576,
		}),
		maximumConnections: countSetting({
			description: 'Maximum number of open connections from callers; further connections are closed at once.', defaultText: '4096', minimum: 1, maximum: 1_000_000,
		}),
		maximumQueued: countSetting({
			description: 'Maximum number of requests per service that wait for a slot; further requests are rejected as not run.', defaultText: '512', minimum: 1, maximum: 1_000_000,
		}),
		headerTimeoutMs: millisecondsSetting({
			description: 'Time limit for receiving a request\'s headers.', defaultText: '10000', minimum: 100, maximum: 600_000,
		}),
		requestTimeoutMs: millisecondsSetting({
			description: 'Time limit for receiving a whole request.', defaultText: '300000', minimum: 100, maximum: 3_600_000,
		}),
		idleTimeoutMs: millisecondsSetting({
			description: 'Time after which an idle connection from a caller is closed.', defaultText: '60000', minimum: 100, maximum: 3_600_000,
		}),
		maximumUpstreamConnections: countSetting({
			description: 'Maximum number of keep-alive connections to each endpoint.', defaultText: '40', minimum: 1, maximum: 10_000,
		}),
		maximumLabelSets: countSetting({
			description: 'Maximum number of latency histograms, one per service, class and tenant; further requests are counted under the tenant `other`.',
			defaultText: '200',
			minimum: 1,
			maximum: 10_000,
		}),
	},
};

/** Sections and keys of `filbertwell-entry`. */
export const entrySettingsSchema = {
	process: processSection,
	callers: callersSection,
	admin: adminSection,
	peers: peersSection,
	platform: platformSection,
	configuration: configurationSection,
	membership: membershipSection,
	limits: limitsSection,
	stop: stopSection,
	log: logSection,
} satisfies SettingsSchema;

/** Settings of an entry, nested by section. */
export type EntrySettings = WithSite<SettingsValues<typeof entrySettingsSchema>>;

/**
 * Reads and validates the settings of an entry.
 *
 * @param path - Path of the INI file.
 * @returns The settings, or all errors in the file.
 */
export const loadEntrySettings = (path: string): Result<EntrySettings, SettingsError[]> => loadSettings(path, entrySettingsSchema).map(values => withSite(values));
