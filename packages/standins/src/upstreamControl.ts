/**
 * Control port of a process that runs upstream stand-ins: sets faults, reads and clears the ledger and the statistics.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import type {Clock} from '@filbertwell/utils/clock';
import {faultCommandSchema} from './upstreamFaults.js';
import type {UpstreamLedger} from './upstreamLedger.js';
import type {UpstreamStandin} from './upstreamStandin.js';

/** Address of the control port and the endpoints that it controls. */
export type UpstreamControlOptions = {
	readonly host: string;
	readonly port: number;
	readonly upstreams: readonly UpstreamStandin[];
	readonly ledger: UpstreamLedger;
	readonly clock: Clock;
};

/** A running control port. */
export type UpstreamControl = {
	readonly port: number;
	readonly stop: () => Promise<void>;
};

const readText = async (request: IncomingMessage): Promise<string> => {
	const chunks: Uint8Array[] = [];
	for await (const chunk of request) {
		chunks.push(chunk as Uint8Array);
	}

	return Buffer.concat(chunks).toString('utf8');
};

const sendJson = (response: ServerResponse, status: number, body: unknown): void => {
	response.writeHead(status, {'content-type': 'application/json'});
	response.end(JSON.stringify(body));
};

const parseCommand = (text: string): unknown => {
	try {
		return JSON.parse(text) as unknown;
	} catch {
		return undefined;
	}
};

/**
 * Starts the control port.
 *
 * @param options - Address, endpoints, their common ledger and the clock that gives `nowMs` in the statistics.
 * @returns The running control port; `port` is the one that it listens on.
 */
export const createUpstreamControl = async ({host, port, upstreams, ledger, clock}: UpstreamControlOptions): Promise<UpstreamControl> => {
	const setFaults = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
		const command = faultCommandSchema.safeParse(parseCommand(await readText(request)));
		if (!command.success) {
			sendJson(response, 400, {error: `POST /faults: ${command.error.message}`});
			return;
		}

		const {endpoint, faults} = command.data;
		const selectedUpstreams = upstreams.filter(upstream => endpoint === undefined || upstream.endpoint.id === endpoint);
		if (selectedUpstreams.length === 0) {
			sendJson(response, 404, {error: `POST /faults: no endpoint "${endpoint}"`});
			return;
		}

		await Promise.all(selectedUpstreams.map(async upstream => upstream.setFaults(faults)));
		sendJson(response, 200, {endpoints: selectedUpstreams.length});
	};

	const statistics = () => ({
		nowMs: clock(),
		endpoints: Object.fromEntries(upstreams.map(upstream => [upstream.endpoint.id, upstream.statistics()])),
	});

	const handle = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
		const url = new URL(request.url ?? '/', 'http://control');
		switch (`${request.method} ${url.pathname}`) {
			case 'POST /faults': {
				await setFaults(request, response);
				return;
			}

			case 'DELETE /faults': {
				await Promise.all(upstreams.map(async upstream => upstream.clearFaults()));
				sendJson(response, 200, {endpoints: upstreams.length});
				return;
			}

			case 'GET /ledger': {
				sendJson(response, 200, url.searchParams.has('runs') ? {...ledger.report(), runs: ledger.runs()} : ledger.report());
				return;
			}

			case 'DELETE /ledger': {
				ledger.clear();
				sendJson(response, 200, {});
				return;
			}

			case 'GET /statistics': {
				sendJson(response, 200, statistics());
				return;
			}

			case 'DELETE /statistics': {
				for (const upstream of upstreams) {
					upstream.resetStatistics();
				}

				sendJson(response, 200, {});
				return;
			}

			default: {
				sendJson(response, 404, {error: `${request.method} ${url.pathname}: use /faults, /ledger or /statistics`});
			}
		}
	};

	const server = createServer((request, response) => {
		void handle(request, response);
	});
	server.listen(port, host);
	await once(server, 'listening');
	const address = server.address();
	return {
		port: typeof address === 'object' && address !== null ? address.port : port,
		async stop() {
			const closed = once(server, 'close');
			server.close();
			server.closeAllConnections();
			await closed;
		},
	};
};
