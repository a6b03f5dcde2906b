/**
 * Settings of `filbertwell-gateway`.
 */
import type {Result} from 'neverthrow';
import {loadSettings, type SettingsSchema, type SettingsValues} from './loadSettings.js';
import {
	addressListSetting, addressSetting, countSetting, flagSetting, hostSetting, listenPortSetting, nameMapSetting, nameSetting, numberMapSetting,
} from './setting.js';
import {logSection} from './processSections.js';
import type {SettingsError} from './settingsError.js';

/** Sections and keys of `filbertwell-gateway`. */
export const gatewaySettingsSchema = {
	process: {
		description: 'Identity and location of the process.',
		keys: {
			id: nameSetting({description: 'Name of the instance; unique in the deployment.'}),
			region: nameSetting({description: 'Region of the instance.'}),
			availabilityZone: nameSetting({description: 'Availability zone of the instance.'}),
			processor: numberMapSetting({description: 'Processor capacity that the process may use: `share` of a core on `cores` cores; each defaults to 1.', defaultText: ''}),
			bootstrap: flagSetting({
				description: 'Whether all instances of the deployment start for the first time. The list of instances is then read a second later, and only a few instances read the store; otherwise each reads it at once.',
				defaultText: 'false',
			}),
			zones: nameMapSetting({description: 'Region of each availability zone of the deployment, as `zone:region`.'}),
		},
	},
	listen: {
		description: 'Addresses on which the process listens.',
		keys: {
			callers: addressSetting({description: 'Address for callers\' requests; look-ups return it.'}),
			ready: addressSetting({description: 'Address that serves `/ready`.'}),
			lookups: addressSetting({description: 'Address that serves look-ups.'}),
			metricsPort: listenPortSetting({description: 'Port that serves `/metrics`; 0 disables it.', defaultText: '0'}),
		},
	},
	peers: {
		description: 'Connections from other instances: UDP and TCP on the same port.',
		keys: {
			host: hostSetting({description: 'Address to listen on and to announce to peers.'}),
			port: listenPortSetting({description: 'Port to listen on; with 0, the operating system assigns one.', defaultText: '8082'}),
			seeds: addressListSetting({description: 'Addresses of peers to contact at start, in addition to those in the store. May be empty.', defaultText: ''}),
		},
	},
	store: {
		description: 'Connection to the platform\'s store.',
		keys: {
			address: addressSetting({description: 'Address of the store.'}),
			maximumRowBytes: countSetting({
				description: 'Maximum size of a row that the store accepts, in bytes.', defaultText: '65536', minimum: 1024, maximum: 16_777_216,
			}),
		},
	},
	deployment: {
		description: 'Limits that all instances of the deployment share.',
		keys: {
			bounds: numberMapSetting({description: 'Limits by name; a limit that is missing has its default value.', defaultText: ''}),
		},
	},
	log: logSection,
} satisfies SettingsSchema;

/** Settings of a gateway, nested by section. */
export type GatewaySettings = SettingsValues<typeof gatewaySettingsSchema>;

/**
 * Computes the processor capacity that the process may use.
 *
 * @param settings - Validated settings.
 * @returns Cores, possibly a fraction; 1 if the settings do not specify it.
 */
export const processorCores = ({process: {processor}}: GatewaySettings): number => (processor.get('share') ?? 1) * (processor.get('cores') ?? 1);

/** Limits that all instances of a deployment share. */
export type DeploymentBounds = {
	readonly graceMs: number;
	readonly retryRatio: number;
	readonly retryExtra: number;
	readonly retryWindowMs: number;
	readonly largestShift: number;
	readonly largestLookupLifetimeMs: number;
	/** Time within which an accepted traffic plan must be in force on all instances. */
	readonly planMs: number;
	/** Time within which a draining or removed endpoint must stop receiving requests. */
	readonly drainMs: number;
	/** Time after the end of a disruption within which an instance must be up to date again. */
	readonly contactMs: number;
};

const millisecondsPerSecond = 1000;

/** Limits that apply if the settings do not specify them: those of the smallest deployments. */
const defaultBounds: Readonly<Record<string, number>> = {
	graceSeconds: 6,
	retryRatio: 0.2,
	retryExtra: 50,
	retryWindowSeconds: 10,
	largestShift: 0.15,
	largestLookupLifetimeSeconds: 5,
	planSeconds: 2,
	drainSeconds: 2,
	contactSeconds: 3,
};

const readBounds = ({deployment}: GatewaySettings): DeploymentBounds => {
	const value = (name: string): number => deployment.bounds.get(name) ?? defaultBounds[name]!;
	const milliseconds = (name: string): number => value(name) * millisecondsPerSecond;
	return {
		graceMs: milliseconds('graceSeconds'),
		retryRatio: value('retryRatio'),
		retryExtra: value('retryExtra'),
		retryWindowMs: milliseconds('retryWindowSeconds'),
		largestShift: value('largestShift'),
		largestLookupLifetimeMs: milliseconds('largestLookupLifetimeSeconds'),
		planMs: milliseconds('planSeconds'),
		drainMs: milliseconds('drainSeconds'),
		contactMs: milliseconds('contactSeconds'),
	};
};

/** The limits are read for each request, and settings never change after they have been loaded. */
const boundsBySettings = new WeakMap<GatewaySettings, DeploymentBounds>();

/**
 * Returns the limits of the deployment from `[deployment] bounds`.
 *
 * @param settings - Validated settings.
 * @returns The limits, with defaults for those that the settings do not specify.
 */
export const deploymentBounds = (settings: GatewaySettings): DeploymentBounds => {
	const bounds = boundsBySettings.get(settings) ?? readBounds(settings);
	boundsBySettings.set(settings, bounds);
	return bounds;
};

/**
 * Reads and validates the settings of a gateway.
 *
 * @param path - Path of the INI file.
 * @returns The settings, or all errors in the file.
 */
export const loadGatewaySettings = (path: string): Result<GatewaySettings, SettingsError[]> => loadSettings(path, gatewaySettingsSchema);
