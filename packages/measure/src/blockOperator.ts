/**
 * Worker thread of `config-delta`: the platform's stand-in and an operator who changes one client
 * block at a time, so that neither their work nor their garbage is in the measured event loop.
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

/** Asks the operator for the next version. */
export type BlockChange = {
	readonly version: number;
	/** Index of the block to change; none for the first version. */
	readonly changedBlock: number | undefined;
};

/** The operator's answer. */
export type BlockChangeDone = {
	/** Address of the stand-in. */
	readonly address: SocketAddress;
	/** Bytes that the stand-in has sent so far. */
	readonly bytesSent: number;
};

/** Client blocks of the configuration. */
export const blockCount = 320_000;
const preferenceCount = 200;
const timeoutMs = 10_000;

const startOperator = async () => {
	const standin = await createPlatformStandin({host: '127.0.0.1', port: 0});
	const platform = createHttpPlatform({
		address: standin.address, timeoutMs, clock: monotonicClock, random: createRandom(1), log: silentLogger,
	});
	const names = Array.from({length: preferenceCount}, (_, index) => `near-${index}`);
	const whole: Intent = {
		...createSmallIntent('seed'),
		sitePreferences: ['near', ...names].map(name => ({name, sites: ['site-1']})),
		clientBlocks: createBlocks(blockCount, names),
	};

	return async ({version, changedBlock}: BlockChange): Promise<BlockChangeDone> => {
		const clientBlocks = changedBlock === undefined
			? whole.clientBlocks
			: whole.clientBlocks.with(changedBlock, {...whole.clientBlocks[changedBlock]!, preference: 'near'});
		const result = await acceptConfiguration({
			platform, intent: {...whole, clientBlocks}, expectedVersion: version - 1, changeId: `change-${version}`, author: 'ana', acceptedAt: '',
		});
		if (result.isErr()) {
			throw new Error(`change ${version} was not accepted: ${result.error.detail}`);
		}

		return {address: standin.address, bytesSent: standin.statistics().bytesSent};
	};
};

if (parentPort !== null) {
	const port = parentPort;
	const change = await startOperator();
	const answer = async (request: BlockChange) => {
		port.postMessage(await change(request));
	};

	port.on('message', (request: BlockChange) => {
		void answer(request);
	});
}
