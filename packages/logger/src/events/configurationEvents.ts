/**
 * Log events 2000 to 2999: configuration.
 */
import {defineEvents} from '../eventDefinition.js';

/** Events about the configuration in force, its sources and the removal of old versions. */
export const configurationEvents = defineEvents({
	inForce: {
		number: 2000,
		name: 'configurationInForce',
		level: 'info',
		meaning: 'A version of the configuration is now in force at this process; the fields contain its sources and the amount of data fetched. No action.',
	},
	storeUnreachable: {
		number: 2001,
		name: 'configurationStoreUnreachable',
		level: 'warn',
		meaning: 'The table could not be read. The current configuration stays in force, and newer versions are fetched from peers. Check the platform.',
	},
	storeReachable: {
		number: 2002,
		name: 'configurationStoreReachable',
		level: 'info',
		meaning: 'The table can be read again. No action.',
	},
	headMalformed: {
		number: 2003,
		name: 'configurationHeadMalformed',
		level: 'error',
		meaning: 'The row config/head or a peer\'s head is malformed and is ignored. Restore the row from the newest row under config/version/.',
	},
	headBehind: {
		number: 2004,
		name: 'configurationHeadBehind',
		level: 'error',
		meaning: 'The table contains a lower version than the one in force, for example after a restore from a backup. '
			+ 'The current version stays in force. Apply it again with the version in force as the minimum.',
	},
	headDiffers: {
		number: 2005,
		name: 'configurationHeadDiffers',
		level: 'error',
		meaning: 'The table contains a different change under the version in force, for example after a restore from a backup. '
			+ 'The current change stays in force until a higher version is accepted. Apply a higher version.',
	},
	partCorrupt: {
		number: 2006,
		name: 'configurationPartCorrupt',
		level: 'error',
		meaning: 'A part of a configuration does not match its hash; it is fetched from another source. If the store is the source, apply the configuration again.',
	},
	loadFailed: {
		number: 2007,
		name: 'configurationLoadFailed',
		level: 'warn',
		meaning: 'A newer version is known, but one of its parts is unavailable, missing or corrupt. The current version stays in force and loading is retried.',
	},
	waitingForHigher: {
		number: 2008,
		name: 'configurationWaitingForHigher',
		level: 'warn',
		meaning: 'After its start, this process waits for a version that a peer announces instead of putting an older one in force. '
			+ 'If this persists, check the peer that announces the version and the network to it.',
	},
	partsCollected: {
		number: 2009,
		name: 'configurationPartsCollected',
		level: 'info',
		meaning: 'Old versions and their parts were removed from the platform. No action.',
	},
	collectionFailed: {
		number: 2010,
		name: 'configurationCollectionFailed',
		level: 'warn',
		meaning: 'Old versions and parts could not be removed; the removal is retried later. Check the platform if this recurs.',
	},
});
