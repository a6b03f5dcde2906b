/**
 * Ports on loopback for a deployment whose processes must know their ports before they start.
 *
 * A deployment reserves an aligned block and holds its first port open as a guard, so that
 * deployments that run side by side never share one. Blocks lie below the ports that the
 * operating system gives to outgoing connections.
 */
import {once} from 'node:events';
import {createServer, type Server} from 'node:net';
import type {Random} from '@filbertwell/utils/random';

/** Ports of one deployment. */
export type PortBlock = {
	/** Takes consecutive ports; returns the first. Throws where the block is used up. */
	readonly take: (count: number) => number;
	/** Gives the block free. */
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

const areFree = async (host: string, base: number): Promise<boolean> => {
	const free = await Promise.all(Array.from({length: blockSize - 1}, async (_, index) => isFree(host, base + 1 + index)));
	return free.every(Boolean);
};

const createBlock = (base: number, guard: Server): PortBlock => {
	let next = base + 1;
	return {
		take(count) {
			const first = next;
			next += count;
			if (next > base + blockSize) {
				throw new Error(`${count} more ports are not left in the block of ${blockSize} from ${base} on; raise blockSize`);
			}

			return first;
		},
		release() {
			guard.close();
		},
	};
};

/**
 * Reserves a block of ports.
 *
 * @param random - Where to look first; let it differ between deployments that run side by side.
 * @param host - Address to listen on.
 * @returns The block.
 * @throws If every block that was tried is in use.
 */
export const reservePortBlock = async (random: Random, host = '127.0.0.1'): Promise<PortBlock> => {
	for (let attempt = 0; attempt < maximumTries; attempt += 1) {
		const base = blockSize * (firstBlock + Math.floor(random() * (lastBlock - firstBlock)));
		const guard = await listen(host, base); // eslint-disable-line no-await-in-loop -- the next block only if this one is taken
		if (guard !== undefined) {
			guard.unref();
			if (await areFree(host, base)) { // eslint-disable-line no-await-in-loop
				return createBlock(base, guard);
			}

			guard.close();
		}
	}

	throw new Error(`no free block of ${blockSize} ports on ${host} from ${blockSize * firstBlock} to ${blockSize * lastBlock}; end other deployments`);
};
