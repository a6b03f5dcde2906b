/**
 * Blocks of consecutive free ports on loopback, for the endpoints of an intent.
 */
import {once} from 'node:events';
import {createServer} from 'node:net';
import type {Random} from '@filbertwell/utils/random';

/** Lowest port that is tried; below it services of the machine may listen. */
const lowestPort = 12_000;
/** Ports from here on are given to outgoing connections by the operating system. */
const highestPort = 32_000;
const maximumTries = 50;

const isFree = async (host: string, port: number): Promise<boolean> => {
	const server = createServer();
	server.listen(port, host);
	try {
		await once(server, 'listening');
	} catch {
		return false;
	}

	server.close();
	await once(server, 'close');
	return true;
};

/**
 * Finds consecutive ports that are free now.
 *
 * @param count - How many.
 * @param random - Where to start looking; let it differ between deployments that run side by side.
 * @param host - Address to listen on.
 * @returns The first port of the block.
 * @throws If no block is found.
 */
export const findPortBlock = async (count: number, random: Random, host = '127.0.0.1'): Promise<number> => {
	for (let attempt = 0; attempt < maximumTries; attempt += 1) {
		const base = lowestPort + Math.floor(random() * (highestPort - lowestPort - count));
		const free = await Promise.all(Array.from({length: count}, async (_, index) => isFree(host, base + index))); // eslint-disable-line no-await-in-loop
		if (free.every(Boolean)) {
			return base;
		}
	}

	throw new Error(`no ${count} consecutive free ports on ${host} between ${lowestPort} and ${highestPort}`);
};
