/**
 * Worker thread of the experiment `config-delta`: runs the platform stand-in and an operator that
 * changes one client block at a time, so that their work and their garbage collection stay out of
 * the measured event loop.
 */
import {parentPort} from 'node:worker_threads';
import {acceptConfiguration} from '@filbertwell/configuration/acceptConfiguration';
import {silentLogger} from '@filbertwell/logger/logger';
import {createHttpPlatform} from '@filbertwell/platform/httpPlatform';
import {createPlatformStandin} from '@filbertwell/standins/platformStandin';
import type {Intent} from '@filbertwell/types/intent';
import type {SocketAddress} from '@filbertwell/types/place';
import {monotonicClock} from '@filbertwell/utils/clock';
import {createRandom} from '@filbertwell/utils/random';
import {createBlocks, createSmallIntent} from './smallIntent.js';

/** Message that has the operator publish the next version. */
export type BlockChange = {
	readonly version: number;
	/** Index of the block to change; `undefined` for the first version. */
	readonly changedBlock: number | undefined;
};

/** Reply of the operator once the version is accepted. */
export type BlockChangeResult = {
	/** Address of the platform stand-in. */
	readonly address: SocketAddress;
	/** Bytes of response bodies that the stand-in has sent so far. */
	readonly bytesSent: number;
};

/** Number of client blocks in the configuration. */
export const blockCount = 320_000;
const preferenceCount = 200;
const timeoutMs = 10_000;

const startOperator = async () => {
	const standin = await createPlatformStandin({host: '127.0.0.1', port: 0});
	const platform = createHttpPlatform({
		address: standin.address, timeoutMs, clock: monotonicClock, random: createRandom(1), log: silentLogger,
	});
	const names = Array.from({length: preferenceCount}, (_, index) => `near-${index}`);
	const baseIntent: Intent = {
		...createSmallIntent('seed'),
		sitePreferences: ['near', ...names].map(name => ({name, sites: ['site-1']})),
		clientBlocks: createBlocks(blockCount, names),
	};

	return async ({version, changedBlock}: BlockChange): Promise<BlockChangeResult> => {
		const clientBlocks = changedBlock === undefined
			? baseIntent.clientBlocks
			: baseIntent.clientBlocks.with(changedBlock, {...baseIntent.clientBlocks[changedBlock]!, preference: 'near'});
		const result = await acceptConfiguration({
			platform, intent: {...baseIntent, clientBlocks}, expectedVersion: version - 1, changeId: `change-${version}`, author: 'ana', acceptedAt: '',
		});
		if (result.isErr()) {
			throw new Error(`change ${version} was not accepted: ${result.error.detail}`);
		}

		return {address: standin.address, bytesSent: standin.statistics().bytesSent};
	};
};

if (parentPort !== null) {
	const port = parentPort;
	const applyChange = await startOperator();
	const handleRequest = async (request: BlockChange) => {
		port.postMessage(await applyChange(request));
	};

	port.on('message', (request: BlockChange) => {
		void handleRequest(request);
	});
}
