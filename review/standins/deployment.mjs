/* eslint-disable camelcase -- names of the pages */
/**
 * A small deployment on loopback addresses for one case, its record and its exit code.
 */
import {
	appendFileSync, mkdtempSync, rmSync, writeFileSync,
} from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {startEndpoint} from './endpoints.mjs';
import {fetchText, repository, startGateway} from './gateways.mjs';
import {createStore} from './store.mjs';

const maximumRunMs = 110_000;

/** Exit codes of a case; `run.sh` turns them into its own, so that an error of Node.js (1) does not look like a broken rule. */
export const exitCodes = {held: 0, broken: 10, notRun: 11};

/** Whether the disruption takes place; without it, the rule must hold. */
export const hasTrouble = process.env.TROUBLE !== '0';

export const wait = async milliseconds => new Promise(resolve => {
	setTimeout(resolve, milliseconds);
});

/** Waits for a condition; throws after 20 s. */
export const waitFor = async (description, condition) => {
	const untilMs = performance.now() + 20_000;
	while (!await condition()) { // eslint-disable-line no-await-in-loop
		if (performance.now() > untilMs) {
			throw new Error(`not reached: ${description}`);
		}

		await wait(50); // eslint-disable-line no-await-in-loop
	}
};

/** Zones of a small deployment with their regions. */
export const zones = {
	'north-a': 'north', 'north-b': 'north', 'central-a': 'central', 'central-b': 'central', 'south-a': 'south', 'south-b': 'south',
};

/** A route as the operator writes it. */
export const routeOf = (name, service, kind, {timeoutS = 2, targetS = 0.6} = {}) => ({
	name, host: 'shop.example', prefix: `/${name}/`, kind, timeout_s: timeoutS, target_latency_s: targetS, priority: 1, service, max_attempts: 2, sticky_sessions: false, allowed_regions: [],
});

/** A manifest as the operator writes it, with the limits that the pages show. */
export const manifestOf = (version, routes) => ({
	version: version.toString(16).padStart(8, '0'),
	routes,
	services: [...new Set(routes.map(({service}) => service))].map(name => ({
		name, health_path: '/health', max_connections: 330, protocol: 'h1', tls: false, cold_start_s: 3, cold_per_s: 4.5,
	})),
	limits: {
		max_header_bytes: 16_384, max_body_bytes: 67_108_864, header_timeout_s: 3, idle_timeout_s: 15,
	},
});

const createDeployment = (record, folder) => {
	const store = createStore();
	const gateways = [];
	const endpoints = [];
	// Addresses of two runs at the same time differ, so that their ports do.
	const network = `127.${10 + (process.pid % 200)}.${1 + (Math.floor(process.pid / 200) % 200)}`;
	let hosts = 0;
	const nextHost = () => {
		hosts += 1;
		return `${network}.${hosts}`;
	};

	return {
		store,
		gateways,
		endpoints,
		async addGateway(zone, options = {}) {
			const front = await store.openFront('127.0.0.1');
			const gateway = await startGateway({
				record, folder, name: `front-${zone}-${gateways.length + 1}`, zone, zones, host: nextHost(), storeAddress: front.address, ...options,
			});
			gateways.push(Object.assign(gateway, {front}));
			return gateway;
		},
		async addEndpoint(service, zone, options = {}) {
			const endpoint = await startEndpoint({
				store, record, id: `i-${service}-${endpoints.length + 1}`, service, zone, host: '127.0.0.1', slots: 5, workMs: 300, ...options,
			});
			endpoints.push(endpoint);
			return endpoint;
		},
		/** Waits until all gateways are ready and know each other. */
		async settle() {
			for (const gateway of gateways) {
				await waitFor(`${gateway.name} is ready`, async () => { // eslint-disable-line no-await-in-loop
					try {
						const {status} = await fetchText(gateway.ready, '/ready');
						return status === 200;
					} catch {
						return false;
					}
				});
			}

			await wait(5000);
		},
		close() {
			for (const gateway of gateways) {
				gateway.remove();
			}

			for (const endpoint of endpoints) {
				endpoint.close();
			}

			store.close();
		},
	};
};

/**
 * Runs a case and exits the process with one of `exitCodes`.
 *
 * @param name - Folder of the case under `review/`.
 * @param run - Plays the case; returns whether the rule was broken and a summary.
 */
export const runCase = async (name, run) => {
	const recordFile = path.join(repository, 'review', name, 'record.txt');
	const startedAtMs = performance.now();
	writeFileSync(recordFile, '');
	let lines = [];
	const flush = () => {
		appendFileSync(recordFile, lines.join(''));
		lines = [];
	};

	/** Endpoint that runs each request, by request id. */
	const ranAt = new Map();
	/** Arrivals of requests at endpoints, with their time. */
	const arrivals = [];
	const record = (event, fields) => {
		if (event === 'run') {
			ranAt.set(fields.request, fields.endpoint);
		} else if (event === 'arrival') {
			arrivals.push({...fields, atMs: performance.now()});
		}

		lines.push(`${((performance.now() - startedAtMs) / 1000).toFixed(3)} ${event} ${JSON.stringify(fields)}\n`);
	};

	const folder = mkdtempSync(path.join(os.tmpdir(), 'filbertwell-review-'));
	const deployment = {
		...createDeployment(record, folder), ranAt, arrivals,
	};
	const end = (code, summary) => {
		record('end', {code, trouble: hasTrouble, ...summary});
		console.log(JSON.stringify({
			case: name, code, trouble: hasTrouble, ...summary,
		}, undefined, 2));
		deployment.close();
		flush();
		if (process.env.KEEP_LOGS === undefined) {
			rmSync(folder, {recursive: true, force: true});
		} else {
			console.log(folder);
		}

		process.exit(code); // eslint-disable-line unicorn/no-process-exit -- this is the program
	};

	const flusher = setInterval(flush, 500);
	flusher.unref();
	setTimeout(() => {
		end(exitCodes.notRun, {problem: 'the case took too long'});
	}, maximumRunMs).unref();
	for (const signal of ['SIGTERM', 'SIGINT']) {
		process.once(signal, () => {
			end(exitCodes.notRun, {problem: signal});
		});
	}

	try {
		const {isBroken, ...summary} = await run(deployment, record);
		end(isBroken ? exitCodes.broken : exitCodes.held, summary);
	} catch (error) {
		end(exitCodes.notRun, {problem: error instanceof Error ? error.stack : String(error)});
	}
};
