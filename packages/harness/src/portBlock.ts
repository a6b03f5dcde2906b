/**
 * Reserves ports on loopback for a deployment whose ports must be set before its processes start.
 *
 * A deployment reserves an aligned block and keeps its first port open as a lock, so that
 * concurrent deployments never share a block. Blocks lie below the ephemeral ports that the
 * operating system assigns to outgoing connections.
 */
import {once} from 'node:events';
import {createServer, type Server} from 'node:net';
import type {Random} from '@filbertwell/utils/random';

/** Block of consecutive ports reserved for one deployment. */
export type PortBlock = {
	/** Allocates consecutive ports and returns the first. Throws if too few are left in the block. */
	readonly take: (count: number) => number;
	/** Releases the block, so that another deployment can reserve it. */
	readonly release: () => void;
};

const blockSize = 512;
const firstBlock = 24;
const lastBlock = 62;
const maximumTries = 200;

const listen = async (host: string, port: number): Promise<Server | undefined> => {
	const server = createServer();
	server.listen(port, host);
	try {
		await once(server, 'listening');
		return server;
	} catch {
		return undefined;
	}
};

const isFree = async (host: string, port: number): Promise<boolean> => {
	const server = await listen(host, port);
	server?.close();
	return server !== undefined;
};

const areAllFree = async (host: string, base: number): Promise<boolean> => {
	const free = await Promise.all(Array.from({length: blockSize - 1}, async (_, index) => isFree(host, base + 1 + index)));
	return free.every(Boolean);
};

const createBlock = (base: number, lockServer: Server): PortBlock => {
	let next = base + 1;
	return {
		take(count) {
			const first = next;
			next += count;
			if (next > base + blockSize) {
				throw new Error(`cannot take ${count} more ports from the block of ${blockSize} ports that starts at ${base}; increase blockSize`);
			}

			return first;
		},
		release() {
			lockServer.close();
		},
	};
};

/**
 * Reserves a block of ports.
 *
 * @param random - Chooses the blocks to try; use different seeds for concurrent deployments.
 * @param host - Address to listen on.
 * @returns The reserved block.
 * @throws If each of 200 tried blocks has a port in use.
 */
export const reservePortBlock = async (random: Random, host = '127.0.0.1'): Promise<PortBlock> => {
	for (let attempt = 0; attempt < maximumTries; attempt += 1) {
		const base = blockSize * (firstBlock + Math.floor(random() * (lastBlock - firstBlock)));
		const lockServer = await listen(host, base); // eslint-disable-line no-await-in-loop -- the next block is tried only if this one is in use
		if (lockServer !== undefined) {
			lockServer.unref();
			if (await areAllFree(host, base)) { // eslint-disable-line no-await-in-loop
				return createBlock(base, lockServer);
			}

			lockServer.close();
		}
	}

	throw new Error(`no free block of ${blockSize} ports on ${host} from ${blockSize * firstBlock} to ${blockSize * lastBlock}; stop other deployments`);
};
