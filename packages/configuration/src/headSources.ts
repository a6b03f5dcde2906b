/**
 * Sources of heads for a follower, the table and peers, with log events for heads that are invalid or behind.
 */
import {configurationEvents} from '@filbertwell/logger/events/configurationEvents';
import type {Logger} from '@filbertwell/logger/logger';
import type {Platform} from '@filbertwell/platform/platform';
import {parseHead, type Head} from './head.js';
import type {PeerConfigurationSource} from './peerConfigurationSource.js';
import {createProblemLog} from './problemLog.js';
import {readHead} from './readConfiguration.js';

export type HeadSourceOptions = {
	readonly platform: Platform;
	readonly peers: PeerConfigurationSource;
	readonly log: Logger;
	/** Head of the configuration in force in this process. */
	readonly headInForce: () => Head | undefined;
};

/** Sources of heads. Each resolves to `undefined` if it has no valid head or does not answer. */
export type HeadSources = {
	readonly readFromTable: () => Promise<Head | undefined>;
	readonly fetchFromPeers: () => Promise<Head | undefined>;
};

/**
 * Creates the sources. A failure is logged and never thrown.
 *
 * @param options - Platform, peers and the head in force.
 * @returns The sources.
 */
export const createHeadSources = ({platform, peers, log, headInForce}: HeadSourceOptions): HeadSources => {
	const storeProblem = createProblemLog(log);
	const headProblem = createProblemLog(log);

	const checkStoreHead = (head: Head) => {
		const current = headInForce() ?? head;
		const fields = {
			version: head.version, changeId: head.changeId, versionInForce: current.version, changeInForce: current.changeId,
		};
		if (head.version < current.version) {
			headProblem.report(configurationEvents.headBehind, fields);
		} else if (head.version === current.version && head.changeId !== current.changeId) {
			headProblem.report(configurationEvents.headDiffers, fields);
		} else {
			headProblem.clear();
		}
	};

	const readFromTable = async (): Promise<Head | undefined> => {
		const head = await readHead(platform);
		if (head.isErr()) {
			if (head.error.kind === 'malformed') {
				headProblem.report(configurationEvents.headMalformed, {origin: 'store', detail: head.error.detail});
			} else {
				storeProblem.report(configurationEvents.storeUnreachable, {kind: head.error.kind});
			}

			return undefined;
		}

		if (storeProblem.clear()) {
			log(configurationEvents.storeReachable);
		}

		if (head.value !== undefined) {
			checkStoreHead(head.value);
		}

		return head.value;
	};

	const fetchFromPeers = async (): Promise<Head | undefined> => {
		const text = await peers.fetchHead();
		if (text.isErr() || text.value === undefined) {
			return undefined;
		}

		const head = parseHead(text.value);
		if (head.isErr()) {
			headProblem.report(configurationEvents.headMalformed, {origin: 'peer', detail: head.error.detail});
			return undefined;
		}

		return head.value;
	};

	return {readFromTable, fetchFromPeers};
};
