/**
 * One upstream endpoint for tests, with slots, a bounded queue, a load report, deadlines,
 * cancellation, load shedding, cold starts and injected faults.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {
	deadlineHeader, idempotencyKeyHeader, loadHeader, requestIdHeader, upstreamOutcomeHeader,
} from '@filbertwell/types/headers';
import type {Endpoint} from '@filbertwell/types/intent';
import type {LoadReport} from '@filbertwell/types/loadReport';
import type {Clock} from '@filbertwell/utils/clock';
import type {Random} from '@filbertwell/utils/random';
import {drawServiceTime, type ServiceTime} from './serviceTime.js';
import {noUpstreamFaults, type UpstreamFaults} from './upstreamFaults.js';
import type {UpstreamLedger} from './upstreamLedger.js';
import {createLoadReporter} from './upstreamLoadReport.js';
import {header, queryNumber, readBody} from './upstreamRequest.js';
import {createUpstreamSlots, type SlotStatistics} from './upstreamSlots.js';

/** Behaviour of an endpoint without faults. */
export type UpstreamBehaviour = {
	readonly serviceTimeMs: ServiceTime;
	/** Maximum number of requests that wait for a slot; further requests are rejected as not run. */
	readonly queueLimit: number;
	/** Length of response bodies in bytes, unless the request sets it in its query. */
	readonly responseBytes: number;
	readonly connectionLimit: number;
	/** Whether work stops when the caller closes the connection or the deadline passes. */
	readonly cancellable: boolean;
};

/** Parameters of an endpoint. Port 0 picks a free port. */
export type UpstreamStandinOptions = {
	readonly endpoint: Endpoint;
	readonly behaviour: UpstreamBehaviour;
	readonly clock: Clock;
	readonly random: Random;
	readonly ledger: UpstreamLedger;
};

/** A running endpoint. */
export type UpstreamStandin = {
	/** The endpoint with the port that it listens on. */
	readonly endpoint: Endpoint;
	/** Changes the given faults; the others keep their values. */
	readonly setFaults: (faults: Partial<UpstreamFaults>) => Promise<void>;
	readonly clearFaults: () => Promise<void>;
	readonly statistics: () => SlotStatistics;
	readonly resetStatistics: () => void;
	readonly stop: () => Promise<void>;
};

type WorkResult = {readonly kind: 'done'} | {readonly kind: 'aborted'};

/** Interval at which stalled work checks whether the stall has ended. */
const stallPollIntervalMs = 20;
/** Longer than the default of Node.js, since the entry keeps idle connections open for longer than that. */
const keepAliveTimeoutMs = 30_000;

const listen = async (server: Server, host: string, port: number): Promise<number> => {
	server.listen(port, host);
	await once(server, 'listening');
	const address = server.address();
	return typeof address === 'object' && address !== null ? address.port : port;
};

/** Default behaviour, with an average service time of 10 ms. */
export const defaultUpstreamBehaviour: UpstreamBehaviour = {
	serviceTimeMs: {kind: 'exponential', meanMs: 10},
	queueLimit: 32,
	responseBytes: 200,
	connectionLimit: 330,
	cancellable: true,
};

/**
 * Starts an endpoint. A request can change its work by query parameters: `workFactor` multiplies
 * its service time, `bytes` sets the length of the response body.
 *
 * @param options - Endpoint, behaviour, clock, random numbers and the ledger that records its runs.
 * @returns The running endpoint.
 */
export const createUpstreamStandin = async ({endpoint, behaviour, clock, random, ledger}: UpstreamStandinOptions): Promise<UpstreamStandin> => {
	let faults = noUpstreamFaults;
	let isListening = true;
	const occurs = (probability: number): boolean => probability > 0 && random() < probability;
	const actualLoad = (): LoadReport => ({
		state: 'serving', slots: endpoint.slots, inUse: slots.inUse(), queued: slots.queued(),
	});
	const reporter = createLoadReporter(clock, actualLoad);
	const slots = createUpstreamSlots(endpoint.slots, behaviour.queueLimit, clock, () => {
		reporter.record();
	});

	const loadJson = (): string => JSON.stringify(reporter.report(faults));

	const waitWhileStalled = async (signal: AbortSignal): Promise<void> => {
		while (faults.stalled && !signal.aborted) {
			await delay(stallPollIntervalMs); // eslint-disable-line no-await-in-loop
		}
	};

	const serviceTimeMs = (workFactor: number): number => {
		const isStraggler = occurs(faults.stragglerProbability);
		const isCold = faults.coldRequests > 0;
		if (isCold) {
			faults = {...faults, coldRequests: faults.coldRequests - 1};
		}

		return drawServiceTime(behaviour.serviceTimeMs, random) * workFactor * faults.slowFactor
			* (isStraggler ? faults.stragglerFactor : 1) * (isCold ? faults.coldFactor : 1);
	};

	const performWork = async (workFactor: number, signal: AbortSignal): Promise<WorkResult> => {
		try {
			await delay(serviceTimeMs(workFactor), undefined, {signal});
			await waitWhileStalled(signal);
			return {kind: signal.aborted ? 'aborted' : 'done'};
		} catch {
			return {kind: 'aborted'};
		}
	};

	const refuse = (response: ServerResponse, reason: string): void => {
		ledger.refuse();
		response.writeHead(503, {
			'content-type': 'text/plain', [upstreamOutcomeHeader]: 'not-run', [loadHeader]: loadJson(),
		});
		response.end(reason);
	};

	const sendResponse = (request: IncomingMessage, response: ServerResponse, length: number): void => {
		const content = JSON.stringify({endpoint: endpoint.id, requestId: header(request, requestIdHeader), key: header(request, idempotencyKeyHeader)});
		const body = content.padEnd(length, ' ');
		const isTruncated = occurs(faults.truncateProbability);
		response.writeHead(200, {'content-type': 'application/json', 'content-length': Buffer.byteLength(body), [loadHeader]: loadJson()});
		if (!isTruncated) {
			response.end(body);
			return;
		}

		response.write(body.slice(0, Math.floor(body.length / 2)), () => {
			response.destroy();
		});
	};

	const finishRequest = (request: IncomingMessage, response: ServerResponse, length: number): void => {
		if (occurs(faults.resetAfterProbability)) {
			response.destroy();
			return;
		}

		if (occurs(faults.failAfterProbability)) {
			response.writeHead(500, {'content-type': 'text/plain', [loadHeader]: loadJson()});
			response.end('failed after the run');
			return;
		}

		sendResponse(request, response, length);
	};

	const runRequest = async (request: IncomingMessage, response: ServerResponse, url: URL, signal: AbortSignal): Promise<void> => {
		const requestBytes = await readBody(request);
		const admission = await slots.acquire(signal);
		if (admission !== 'admitted') {
			refuse(response, admission === 'full' ? 'queue is full' : 'deadline passed in the queue');
			return;
		}

		const recordEnd = ledger.start({
			endpoint: endpoint.id, requestId: header(request, requestIdHeader), key: header(request, idempotencyKeyHeader), requestBytes,
		});
		const result = await performWork(queryNumber(url, 'workFactor', 1), behaviour.cancellable ? signal : AbortSignal.any([]));
		recordEnd(result.kind === 'done' ? 'completed' : 'cancelled');
		slots.release();
		if (result.kind === 'done') {
			finishRequest(request, response, queryNumber(url, 'bytes', behaviour.responseBytes));
			return;
		}

		response.writeHead(504, {'content-type': 'text/plain', [loadHeader]: loadJson()});
		response.end('cancelled at its deadline');
	};

	const handle = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
		const url = new URL(request.url ?? '/', 'http://upstream');
		if (url.pathname === '/_load') {
			await waitWhileStalled(AbortSignal.any([]));
			response.writeHead(200, {'content-type': 'application/json'});
			response.end(loadJson());
			return;
		}

		if (faults.shedding || occurs(faults.failBeforeProbability)) {
			refuse(response, 'shedding load');
			return;
		}

		const abortController = new AbortController();
		response.once('close', () => {
			abortController.abort();
		});
		const deadlineMs = Number(header(request, deadlineHeader) ?? Number.NaN);
		const timer = Number.isFinite(deadlineMs)
			? setTimeout(() => {
				abortController.abort();
			}, Math.max(0, deadlineMs))
			: undefined;
		try {
			await runRequest(request, response, url, abortController.signal);
		} catch {
			// The caller closed the connection before the end of the request body; nothing ran.
			response.destroy();
		} finally {
			clearTimeout(timer);
		}
	};

	const server = createServer({keepAliveTimeout: keepAliveTimeoutMs}, (request, response) => {
		void handle(request, response);
	});
	server.maxConnections = behaviour.connectionLimit;
	const port = await listen(server, endpoint.host, endpoint.port);

	const close = async (): Promise<void> => {
		isListening = false;
		const closed = once(server, 'close');
		server.close();
		server.closeAllConnections();
		await closed;
	};

	const setFaults = async (changes: Partial<UpstreamFaults>): Promise<void> => {
		faults = {...faults, ...changes};
		loadJson();
		if (faults.down && isListening) {
			await close();
		}

		if (!faults.down && !isListening) {
			isListening = true;
			await listen(server, endpoint.host, port);
		}
	};

	return {
		endpoint: {...endpoint, port},
		setFaults,
		clearFaults: async () => setFaults(noUpstreamFaults),
		statistics: () => slots.statistics(),
		resetStatistics() {
			slots.resetStatistics();
		},
		async stop() {
			if (isListening) {
				await close();
			}
		},
	};
};
