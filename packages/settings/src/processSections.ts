/**
 * Sections that are part of the settings of several programs.
 */
import {
	addressListSetting,
	countSetting,
	hostSetting,
	listenPortSetting,
	millisecondsSetting,
	nameSetting,
	optionalNameSetting,
	remotePortSetting,
	textSetting,
} from './setting.js';

const hourMs = 3_600_000;

/** Section `[process]`. */
export const processSection = {
	description: 'Identity and location of the process.',
	keys: {
		id: nameSetting({description: 'Name of the process; unique in the deployment. The platform lists the process under this id.'}),
		region: nameSetting({description: 'Region of the instance, as named in the intent.'}),
		availabilityZone: nameSetting({description: 'Availability zone of the instance, as named in the intent.'}),
		site: optionalNameSetting({description: 'Site that the process belongs to in look-ups. If empty, the availability zone.'}),
	},
};

/** Section `[callers]`. */
export const callersSection = {
	description: 'Connections from callers.',
	keys: {
		host: hostSetting({description: 'Address to listen on and to return in look-ups.'}),
		port: listenPortSetting({description: 'Port to listen on; with 0, the operating system assigns one.', defaultText: '8080'}),
	},
};

/** Section `[admin]`. */
export const adminSection = {
	description: 'Connections from operators and metrics collectors. Callers must not be able to reach this address.',
	keys: {
		host: hostSetting({description: 'Address to listen on.', defaultText: '127.0.0.1'}),
		port: listenPortSetting({description: 'Port to listen on; with 0, the operating system assigns one.', defaultText: '8081'}),
	},
};

/** Section `[peers]`. */
export const peersSection = {
	description: 'Connections from other processes of the system: UDP and TCP on the same port.',
	keys: {
		host: hostSetting({description: 'Address to listen on and to announce to peers.'}),
		port: listenPortSetting({description: 'Port to listen on; with 0, the operating system assigns one.', defaultText: '8082'}),
		seeds: addressListSetting({description: 'Addresses of peers to contact at start, in addition to those in the platform\'s list. May be empty.', defaultText: ''}),
	},
};

/** Section `[platform]`. */
export const platformSection = {
	description: 'Connection to the platform\'s table service, object store and list of instances.',
	keys: {
		host: hostSetting({description: 'Address of the platform.'}),
		port: remotePortSetting({description: 'Port of the platform.'}),
		timeoutMs: millisecondsSetting({
			description: 'Time limit for a call to the platform.', defaultText: '2000', minimum: 10, maximum: 60_000,
		}),
		maximumCalls: countSetting({
			description: 'Maximum number of concurrent calls to each of the platform\'s services; further calls wait.', defaultText: '16', minimum: 1, maximum: 1000,
		}),
	},
};

/** Section `[log]`. */
export const logSection = {
	description: 'Logging to standard output.',
	keys: {
		namespaces: textSetting({description: 'Components to log, in the syntax of `DEBUG`. If empty, the environment variable `DEBUG` applies.', defaultText: 'filbertwell:*'}),
	},
};

/** Section `[configuration]`. */
export const configurationSection = {
	description: 'Polling of the platform for new versions of the configuration.',
	keys: {
		pollMs: millisecondsSetting({
			description: 'Interval at which the processes selected for polling read the head of the configuration.', defaultText: '1000', minimum: 50, maximum: 60_000,
		}),
		backstopMs: millisecondsSetting({
			description: 'Interval at which all other processes read the head, in case they do not learn of a version from peers.', defaultText: '30000', minimum: 100, maximum: hourMs,
		}),
	},
};

/** Section `[membership]`. */
export const membershipSection = {
	description: 'Heartbeats and failure detection between processes.',
	keys: {
		heartbeatMs: millisecondsSetting({
			description: 'Interval between heartbeats.', defaultText: '1000', minimum: 20, maximum: 60_000,
		}),
		suspectMs: millisecondsSetting({
			description: 'Time without heartbeats after which a peer is suspect.', defaultText: '3000', minimum: 50, maximum: 600_000,
		}),
		forgetMs: millisecondsSetting({
			description: 'Time without heartbeats after which a peer that the platform does not list is removed.', defaultText: '10000', minimum: 100, maximum: hourMs,
		}),
		listMs: millisecondsSetting({
			description: 'Interval at which each process reads the platform\'s list of instances in a system of up to 16 members; with more members, the interval is longer.',
			defaultText: '2000',
			minimum: 50,
			maximum: hourMs,
		}),
	},
};

/** Section `[stop]`. */
export const stopSection = {
	description: 'Graceful stop after SIGTERM or SIGINT.',
	keys: {
		drainMarginMs: millisecondsSetting({
			description: 'Time for which the process keeps serving after the last look-up response with its address has expired.', defaultText: '2000', minimum: 0, maximum: hourMs,
		}),
		graceMs: millisecondsSetting({
			description: 'Maximum time to wait for requests in progress once the process accepts no new ones.', defaultText: '60000', minimum: 0, maximum: hourMs,
		}),
	},
};
