/**
 * Stand-in of the platform: serves table, object store and instance list from memory over HTTP
 * and injects faults that are set by `POST /faults`.
 */
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {createFaultPlan, type Fault} from '@filbertwell/platform/faultPlan';
import {createMemoryState, type MemoryState} from '@filbertwell/platform/memoryState';
import {maximumObjectBytes} from '@filbertwell/platform/platformLimits';
import type {SocketAddress} from '@filbertwell/types/place';
import {createRandom} from '@filbertwell/utils/random';
import {faultCommandSchema} from './platformFaultCommand.js';
import {findCall, type PlatformCall, type RouteResponse} from './platformRoutes.js';
import {createStatisticsCounter, type PlatformStatistics} from './platformStatistics.js';

/** Address and initial state of the stand-in. */
export type PlatformStandinOptions = {
	readonly host: string;
	/** Port to listen on; 0 picks a free port. */
	readonly port: number;
	/** State to serve; defaults to an empty state. */
	readonly state?: MemoryState;
};

/** A running platform stand-in. */
export type PlatformStandin = {
	readonly address: SocketAddress;
	readonly state: MemoryState;
	/** Replaces all faults. The same seed draws the same sequence of faults. */
	readonly setFaults: (faults: readonly Fault[], seed?: number) => void;
	readonly statistics: () => PlatformStatistics;
	readonly close: () => Promise<void>;
};

const defaultSeed = 1;
/** Largest accepted request body. Twice the largest object leaves room for a transaction of several large rows. */
const maximumBodyBytes = 2 * maximumObjectBytes;

const readBody = async (request: IncomingMessage): Promise<string | undefined> => {
	const chunks: Uint8Array[] = [];
	let bytes = 0;
	for await (const chunk of request as AsyncIterable<Uint8Array>) {
		bytes += chunk.length;
		if (bytes > maximumBodyBytes) {
			return undefined;
		}

		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString('utf8');
};

const send = (response: ServerResponse, {status, body}: RouteResponse) => {
	const payload = Buffer.from(body);
	response.writeHead(status, {'content-length': payload.length});
	response.end(payload);
};

/**
 * Starts a stand-in of the platform.
 *
 * @param options - Address to listen on and initial state.
 * @returns The running stand-in; rejects if it cannot listen on the address.
 */
export const createPlatformStandin = async ({host, port, state = createMemoryState()}: PlatformStandinOptions): Promise<PlatformStandin> => {
	const counter = createStatisticsCounter();
	let random = createRandom(defaultSeed);
	const plan = createFaultPlan(() => random());
	let staleInstances = state.listInstances();

	const setFaults = (faults: readonly Fault[], seed = defaultSeed) => {
		random = createRandom(seed);
		staleInstances = state.listInstances();
		plan.set(faults);
	};

	const perform = async (call: PlatformCall, response: ServerResponse, receivedBytes: number) => {
		counter.count(call.operation, call.access);
		const faults = plan.draw(call.target, call.access);
		if (faults.delayMs > 0) {
			await delay(faults.delayMs);
		}

		if (faults.isPaused) {
			await plan.untilReplaced();
		}

		if (faults.isDown) {
			response.destroy();
			return;
		}

		if (faults.isRejected) {
			send(response, {status: 503, body: '{"error":"refused by an injected fault"}'});
			return;
		}

		const answer = call.run(faults.isListStale ? staleInstances : undefined);
		if (faults.isReplyLost) {
			response.destroy();
			return;
		}

		counter.countBytes(receivedBytes, Buffer.byteLength(answer.body));
		send(response, answer);
	};

	const handleCommand = (method: string, path: string, body: string): RouteResponse | undefined => {
		switch (`${method} ${path}`) {
			case 'POST /faults': {
				return handleSetFaults(body);
			}

			case 'DELETE /faults': {
				setFaults([]);
				return {status: 204, body: ''};
			}

			case 'GET /statistics': {
				return {status: 200, body: JSON.stringify(counter.read())};
			}

			default: {
				return undefined;
			}
		}
	};

	const handleSetFaults = (body: string): RouteResponse => {
		try {
			const command = faultCommandSchema.safeParse(JSON.parse(body));
			if (!command.success) {
				return {status: 400, body: JSON.stringify({error: command.error.message})};
			}

			setFaults(command.data.faults, command.data.seed);
			return {status: 204, body: ''};
		} catch {
			return {status: 400, body: '{"error":"the body is not JSON"}'};
		}
	};

	const handle = async (request: IncomingMessage, response: ServerResponse) => {
		const body = await readBody(request);
		if (body === undefined) {
			send(response, {status: 413, body: `{"error":"the body is over ${maximumBodyBytes} bytes"}`});
			return;
		}

		const method = request.method ?? 'GET';
		const url = new URL(request.url ?? '/', 'http://platform.invalid');
		const answer = handleCommand(method, url.pathname, body);
		if (answer !== undefined) {
			send(response, answer);
			return;
		}

		const call = findCall(state, {method, url, body});
		if (call === undefined) {
			send(response, {status: 404, body: JSON.stringify({error: `no call ${method} ${url.pathname}`})});
			return;
		}

		await perform(call, response, Buffer.byteLength(body));
	};

	const respond = async (request: IncomingMessage, response: ServerResponse) => {
		try {
			await handle(request, response);
		} catch {
			// The client closed the connection while the request body was being read.
			response.destroy();
		}
	};

	const server = createServer((request, response) => {
		void respond(request, response);
	});
	server.keepAliveTimeout = 60_000;
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, () => {
			server.off('error', reject);
			resolve();
		});
	});
	const {port: boundPort} = server.address() as AddressInfo;

	return {
		address: {host, port: boundPort},
		state,
		setFaults,
		statistics: counter.read,
		async close() {
			plan.set([]);
			server.closeAllConnections();
			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
			});
		},
	};
};
