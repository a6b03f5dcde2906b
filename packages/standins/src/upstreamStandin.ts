/**
 * One upstream endpoint for tests: slots, a bounded queue, a load report, deadlines,
 * cancellation, shedding, cold starts, and faults by command.
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

/** How an endpoint behaves without faults. */
export type UpstreamBehaviour = {
	readonly serviceTimeMs: ServiceTime;
	/** Requests that wait for a slot at once; more are refused as not run. */
	readonly queueLimit: number;
	/** Length of answers in bytes, unless the request's query names one. */
	readonly responseBytes: number;
	readonly connectionLimit: number;
	/** Whether work stops when its caller closes the connection. */
	readonly cancellable: boolean;
};

/** Parameters of an endpoint. Port 0 takes any free port. */
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
	readonly setFaults: (faults: Partial<UpstreamFaults>) => Promise<void>;
	readonly clearFaults: () => Promise<void>;
	readonly statistics: () => SlotStatistics;
	readonly resetStatistics: () => void;
	readonly stop: () => Promise<void>;
};

type Ended = {readonly kind: 'done'} | {readonly kind: 'aborted'};

/** How often stalled work looks whether it may go on. */
const stallCheckMs = 20;
/** Node's own limit is raised, since the entry keeps idle connections open for longer. */
const keepAliveTimeoutMs = 30_000;

const listen = async (server: Server, host: string, port: number): Promise<number> => {
	server.listen(port, host);
	await once(server, 'listening');
	const address = server.address();
	return typeof address === 'object' && address !== null ? address.port : port;
};

/** The default behaviour: 10 ms a request on average. */
export const defaultUpstreamBehaviour: UpstreamBehaviour = {
	serviceTimeMs: {kind: 'exponential', meanMs: 10},
	queueLimit: 32,
	responseBytes: 200,
	connectionLimit: 330,
	cancellable: true,
};

/**
 * Starts an endpoint. The query of a request may change its work: `workFactor` multiplies its
 * service time, `bytes` sets the length of its answer.
 *
 * @param options - Endpoint, behaviour, clock, random numbers and the ledger.
 * @returns The running endpoint.
 */
export const createUpstreamStandin = async ({endpoint, behaviour, clock, random, ledger}: UpstreamStandinOptions): Promise<UpstreamStandin> => {
	let faults = noUpstreamFaults;
	let listening = true;
	const chance = (probability: number): boolean => probability > 0 && random() < probability;
	const trueLoad = (): LoadReport => ({
		state: 'serving', slots: endpoint.slots, inUse: slots.inUse(), queued: slots.queued(),
	});
	const reporter = createLoadReporter(clock, trueLoad);
	const slots = createUpstreamSlots(endpoint.slots, behaviour.queueLimit, clock, () => {
		reporter.record();
	});

	const loadJson = (): string => JSON.stringify(reporter.report(faults));

	const untilMoving = async (signal: AbortSignal): Promise<void> => {
		while (faults.stalled && !signal.aborted) {
			await delay(stallCheckMs); // eslint-disable-line no-await-in-loop
		}
	};

	const serviceTimeMs = (workFactor: number): number => {
		const straggles = chance(faults.stragglerProbability);
		const cold = faults.coldRequests > 0;
		if (cold) {
			faults = {...faults, coldRequests: faults.coldRequests - 1};
		}

		return drawServiceTime(behaviour.serviceTimeMs, random) * workFactor * faults.slowFactor
			* (straggles ? faults.stragglerFactor : 1) * (cold ? faults.coldFactor : 1);
	};

	const work = async (workFactor: number, signal: AbortSignal): Promise<Ended> => {
		try {
			await delay(serviceTimeMs(workFactor), undefined, {signal});
			await untilMoving(signal);
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

	const answer = (request: IncomingMessage, response: ServerResponse, length: number): void => {
		const start = JSON.stringify({endpoint: endpoint.id, requestId: header(request, requestIdHeader), key: header(request, idempotencyKeyHeader)});
		const body = start.padEnd(length, ' ');
		const truncated = chance(faults.truncateProbability);
		response.writeHead(200, {'content-type': 'application/json', 'content-length': Buffer.byteLength(body), [loadHeader]: loadJson()});
		if (!truncated) {
			response.end(body);
			return;
		}

		response.write(body.slice(0, Math.floor(body.length / 2)), () => {
			response.destroy();
		});
	};

	const finish = (request: IncomingMessage, response: ServerResponse, length: number): void => {
		if (chance(faults.resetAfterProbability)) {
			response.destroy();
			return;
		}

		if (chance(faults.failAfterProbability)) {
			response.writeHead(500, {'content-type': 'text/plain', [loadHeader]: loadJson()});
			response.end('failed after the run');
			return;
		}

		answer(request, response, length);
	};

	const run = async (request: IncomingMessage, response: ServerResponse, url: URL, signal: AbortSignal): Promise<void> => {
		const requestBytes = await readBody(request);
		const admission = await slots.acquire(signal);
		if (admission !== 'admitted') {
			refuse(response, admission === 'full' ? 'queue is full' : 'deadline passed in the queue');
			return;
		}

		const end = ledger.start({
			endpoint: endpoint.id, requestId: header(request, requestIdHeader), key: header(request, idempotencyKeyHeader), requestBytes,
		});
		const ended = await work(queryNumber(url, 'workFactor', 1), behaviour.cancellable ? signal : AbortSignal.any([]));
		end(ended.kind === 'done' ? 'completed' : 'cancelled');
		slots.release();
		if (ended.kind === 'done') {
			finish(request, response, queryNumber(url, 'bytes', behaviour.responseBytes));
			return;
		}

		response.writeHead(504, {'content-type': 'text/plain', [loadHeader]: loadJson()});
		response.end('cancelled at its deadline');
	};

	const handle = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
		const url = new URL(request.url ?? '/', 'http://upstream');
		if (url.pathname === '/_load') {
			await untilMoving(AbortSignal.any([]));
			response.writeHead(200, {'content-type': 'application/json'});
			response.end(loadJson());
			return;
		}

		if (faults.shedding || chance(faults.failBeforeProbability)) {
			refuse(response, 'shedding load');
			return;
		}

		const abort = new AbortController();
		response.once('close', () => {
			abort.abort();
		});
		const deadlineMs = Number(header(request, deadlineHeader) ?? Number.NaN);
		const timer = Number.isFinite(deadlineMs)
			? setTimeout(() => {
				abort.abort();
			}, Math.max(0, deadlineMs))
			: undefined;
		try {
			await run(request, response, url, abort.signal);
		} catch {
			// The caller closed the connection within its request; nothing ran.
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
		listening = false;
		const closed = once(server, 'close');
		server.close();
		server.closeAllConnections();
		await closed;
	};

	const setFaults = async (changes: Partial<UpstreamFaults>): Promise<void> => {
		faults = {...faults, ...changes};
		loadJson();
		if (faults.down && listening) {
			await close();
		}

		if (!faults.down && !listening) {
			listening = true;
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
			if (listening) {
				await close();
			}
		},
	};
};
