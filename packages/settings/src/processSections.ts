/**
 * Sections that the settings of several processes share.
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

/** Who the process is and where it runs. */
export const processSection = {
	description: 'Who the process is and where it runs.',
	keys: {
		id: nameSetting({description: 'Name of the process, unique in the deployment. It is the id under which the platform lists it.'}),
		region: nameSetting({description: 'Region of the instance, as the intent names it.'}),
		availabilityZone: nameSetting({description: 'Availability zone of the instance, as the intent names it.'}),
		site: optionalNameSetting({description: 'Site that look-ups count the process to. Empty: the availability zone.'}),
	},
};

/** Where callers connect. */
export const callersSection = {
	description: 'Where callers connect.',
	keys: {
		host: hostSetting({description: 'Address to listen on and to name in look-ups.'}),
		port: listenPortSetting({description: 'Port to listen on; 0 lets the operating system choose.', defaultText: '8080'}),
	},
};

/** Where operators and the metrics system connect. */
export const adminSection = {
	description: 'Where operators and the metrics system connect. Keep it out of callers\' reach.',
	keys: {
		host: hostSetting({description: 'Address to listen on.', defaultText: '127.0.0.1'}),
		port: listenPortSetting({description: 'Port to listen on; 0 lets the operating system choose.', defaultText: '8081'}),
	},
};

/** Where other processes of the system connect. */
export const peersSection = {
	description: 'Where other processes of the system connect: UDP and TCP on the same port.',
	keys: {
		host: hostSetting({description: 'Address to listen on and to announce to peers.'}),
		port: listenPortSetting({description: 'Port to listen on; 0 lets the operating system choose.', defaultText: '8082'}),
		seeds: addressListSetting({description: 'Peer addresses to try at start, beside those in the platform\'s list. It may be empty.', defaultText: ''}),
	},
};

/** Where the platform's services are. */
export const platformSection = {
	description: 'Where the platform\'s table service, object store and instance list are.',
	keys: {
		host: hostSetting({description: 'Address of the platform.'}),
		port: remotePortSetting({description: 'Port of the platform.'}),
		timeoutMs: millisecondsSetting({
			description: 'Time limit of one call to the platform.', defaultText: '2000', minimum: 10, maximum: 60_000,
		}),
		maximumCalls: countSetting({
			description: 'Calls to the platform in progress at once, to each of its services; more wait.', defaultText: '16', minimum: 1, maximum: 1000,
		}),
	},
};

/** What is logged. */
export const logSection = {
	description: 'What is logged, to standard output.',
	keys: {
		namespaces: textSetting({description: 'Components to log, in the syntax of `DEBUG`. Empty: what the environment variable `DEBUG` says.', defaultText: 'filbertwell:*'}),
	},
};

/** How the accepted configuration is followed. */
export const configurationSection = {
	description: 'How the accepted configuration is followed.',
	keys: {
		pollMs: millisecondsSetting({
			description: 'Interval at which a polling process reads the head of the configuration.', defaultText: '1000', minimum: 50, maximum: 60_000,
		}),
		backstopMs: millisecondsSetting({
			description: 'Interval at which every other process reads it, in case that peers miss a version.', defaultText: '30000', minimum: 100, maximum: hourMs,
		}),
	},
};

/** How processes watch each other. */
export const membershipSection = {
	description: 'How processes watch each other.',
	keys: {
		heartbeatMs: millisecondsSetting({
			description: 'Interval between heartbeats.', defaultText: '1000', minimum: 20, maximum: 60_000,
		}),
		suspectMs: millisecondsSetting({
			description: 'Silence after which a peer is suspect.', defaultText: '3000', minimum: 50, maximum: 600_000,
		}),
		forgetMs: millisecondsSetting({
			description: 'Silence after which a peer that the platform does not list is forgotten.', defaultText: '10000', minimum: 100, maximum: hourMs,
		}),
		listMs: millisecondsSetting({
			description: 'Interval at which the platform\'s list of instances is read by up to 16 members; more read it less often.', defaultText: '2000', minimum: 50, maximum: hourMs,
		}),
	},
};

/** How the process stops. */
export const stopSection = {
	description: 'How the process stops after SIGTERM.',
	keys: {
		drainMarginMs: millisecondsSetting({
			description: 'Time to go on serving after the lifetime of the last look-up answer that named the process.', defaultText: '2000', minimum: 0, maximum: hourMs,
		}),
		graceMs: millisecondsSetting({
			description: 'Longest time that requests in progress get to end once no new ones arrive.', defaultText: '60000', minimum: 0, maximum: hourMs,
		}),
	},
};
