/**
 * Settings of `filbertwell-gateway`.
 */
import type {Result} from 'neverthrow';
import {loadSettings, type SettingsSchema, type SettingsValues} from './loadSettings.js';
import {
	addressListSetting, addressSetting, countSetting, hostSetting, listenPortSetting, nameMapSetting, nameSetting, numberMapSetting,
} from './setting.js';
import {logSection} from './processSections.js';
import type {SettingsError} from './settingsError.js';

/** Sections and keys of `filbertwell-gateway`. */
export const gatewaySettingsSchema = {
	process: {
		description: 'Who the process is and where it runs.',
		keys: {
			id: nameSetting({description: 'Name of the instance, unique in the deployment.'}),
			region: nameSetting({description: 'Region of the instance.'}),
			availabilityZone: nameSetting({description: 'Availability zone of the instance.'}),
			processor: numberMapSetting({description: 'Processor that the process may use: `share` of a core, on `cores` cores; each is 1 where it is missing.', defaultText: ''}),
			zones: nameMapSetting({description: 'Region of each availability zone, as `zone:region`.'}),
		},
	},
	listen: {
		description: 'Where the process listens.',
		keys: {
			callers: addressSetting({description: 'Address for callers\' requests; look-ups name it.'}),
			ready: addressSetting({description: 'Address of `/ready`.'}),
			lookups: addressSetting({description: 'Address for look-ups.'}),
			metricsPort: listenPortSetting({description: 'Port of `/metrics`; 0 for none.', defaultText: '0'}),
		},
	},
	peers: {
		description: 'Where other instances connect: UDP and TCP on the same port.',
		keys: {
			host: hostSetting({description: 'Address to listen on and to announce to peers.'}),
			port: listenPortSetting({description: 'Port to listen on; 0 lets the operating system choose.', defaultText: '8082'}),
			seeds: addressListSetting({description: 'Peer addresses to try at start, beside those in the store. It may be empty.', defaultText: ''}),
		},
	},
	store: {
		description: 'Where the platform\'s store is.',
		keys: {
			address: addressSetting({description: 'Address of the store.'}),
			maximumRowBytes: countSetting({
				description: 'Largest row that the store takes, in bytes.', defaultText: '65536', minimum: 1024, maximum: 16_777_216,
			}),
		},
	},
	deployment: {
		description: 'Figures of the deployment that bound what instances do together.',
		keys: {
			bounds: numberMapSetting({description: 'Bounds by name; a bound that is missing has its default.', defaultText: ''}),
		},
	},
	log: logSection,
} satisfies SettingsSchema;

/** Settings of a gateway, nested by section. */
export type GatewaySettings = SettingsValues<typeof gatewaySettingsSchema>;

/**
 * Reads how much processor the process may use.
 *
 * @param settings - Checked settings.
 * @returns Cores, with fractions; 1 where the settings do not say.
 */
export const processorCores = ({process: {processor}}: GatewaySettings): number => (processor.get('share') ?? 1) * (processor.get('cores') ?? 1);

/** Bounds that all instances keep together. Times in milliseconds. */
export type DeploymentBounds = {
	readonly graceMs: number;
	readonly retryRatio: number;
	readonly retryExtra: number;
	readonly retryWindowMs: number;
	readonly largestShift: number;
	readonly largestLookupLifetimeMs: number;
};

const millisecondsPerSecond = 1000;

/** Bounds where the settings name none: those of the smallest deployments. */
const defaultBounds: Readonly<Record<string, number>> = {
	graceSeconds: 6,
	retryRatio: 0.2,
	retryExtra: 50,
	retryWindowSeconds: 10,
	largestShift: 0.15,
	largestLookupLifetimeSeconds: 5,
};

/**
 * Reads the bounds that the gateway keeps.
 *
 * @param settings - Checked settings.
 * @returns The bounds, defaults for those that are not named.
 */
export const deploymentBounds = ({deployment}: GatewaySettings): DeploymentBounds => {
	const value = (name: string): number => deployment.bounds.get(name) ?? defaultBounds[name]!;
	const milliseconds = (name: string): number => value(name) * millisecondsPerSecond;
	return {
		graceMs: milliseconds('graceSeconds'),
		retryRatio: value('retryRatio'),
		retryExtra: value('retryExtra'),
		retryWindowMs: milliseconds('retryWindowSeconds'),
		largestShift: value('largestShift'),
		largestLookupLifetimeMs: milliseconds('largestLookupLifetimeSeconds'),
	};
};

/**
 * Reads the settings of a gateway.
 *
 * @param path - Path of the INI file.
 * @returns The settings, or all errors of the file.
 */
export const loadGatewaySettings = (path: string): Result<GatewaySettings, SettingsError[]> => loadSettings(path, gatewaySettingsSchema);
