/**
 * Child process of the experiment `proxy-cost`: a fast upstream, a plain pass-through proxy, or the
 * request path of an entry. Its arguments are its kind and the upstream's port. Over the IPC channel
 * it sends its own port once it listens and its processor time in reply to each message. It exits
 * when its parent disconnects.
 */
import http, {Agent} from 'node:http';
import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import process from 'node:process';
import {createMetrics} from '@filbertwell/metrics/createMetrics';
import {createLogger} from '@filbertwell/logger/logger';
import {createCallerServer, defaultCallerServerSettings} from '@filbertwell/entry/callerServer';
import {createUpstreamClient} from '@filbertwell/entry/upstreamClient';
import {createRouter} from '@filbertwell/routing/createRouter';
import {loadHeader} from '@filbertwell/types/headers';
import {monotonicClock} from '@filbertwell/utils/clock';
import {createRandom} from '@filbertwell/utils/random';
import {err} from 'neverthrow';
import {createBenchConfiguration, disabledOrders} from './bench.js';
import {createReadRoute} from './benchLoad.js';

/** Role of the process. */
export type ProxyKind = 'upstream' | 'passThrough' | 'entry';

/** First message of the process, sent once it listens. */
export type ProxyReady = {readonly port: number};

/** Reply to a `usage` message: processor time since the process started. */
export type ProxyUsage = {readonly processorSeconds: number};

const host = '127.0.0.1';
const microsecondsPerSecond = 1_000_000;
const responseBody = 'x'.repeat(200);
const loadReport = JSON.stringify({
	state: 'serving', slots: 64, inUse: 1, queued: 0,
});

const listen = async (listener: http.RequestListener): Promise<number> => {
	const server = http.createServer({keepAliveTimeout: 60_000}, listener);
	server.listen(0, host);
	await once(server, 'listening');
	return (server.address() as AddressInfo).port;
};

const startUpstream = async (): Promise<number> => listen((_request, response) => {
	response.writeHead(200, {'content-type': 'text/plain', 'content-length': responseBody.length, [loadHeader]: loadReport});
	response.end(responseBody);
});

const startPassThrough = async (upstreamPort: number): Promise<number> => {
	const agent = new Agent({keepAlive: true});
	return listen((request, response) => {
		const outgoing = http.request({
			host, port: upstreamPort, method: request.method, path: request.url, headers: request.headers, agent,
		}, incoming => {
			response.writeHead(incoming.statusCode ?? 0, incoming.headers);
			incoming.pipe(response);
		});
		outgoing.on('error', () => {
			response.destroy();
		});
		request.pipe(outgoing);
	});
};

const startEntry = async (upstreamPort: number): Promise<number> => {
	const endpoints = Array.from({length: 4}, (_, index) => ({
		id: `u${index}`, host, port: upstreamPort, availabilityZone: index % 2 === 0 ? 'a1' : 'a2', slots: 16,
	}));
	const configuration = createBenchConfiguration(endpoints, [createReadRoute()], []);
	const metrics = createMetrics({maximumLabelSets: 100});
	const upstreams = createUpstreamClient();
	const router = createRouter({
		clock: monotonicClock,
		random: createRandom(1),
		log: createLogger('routing'),
		metrics,
		self: {id: 'e1', region: 'a', availabilityZone: 'a1'},
		fetchReport: upstreams.fetchReport,
	});
	router.configure(configuration);
	const server = await createCallerServer({
		settings: {...defaultCallerServerSettings, host, port: 0},
		clock: monotonicClock,
		router,
		upstreams,
		orders: disabledOrders,
		lookup: () => err({kind: 'noEntry', message: 'no look-ups here'}),
		currentConfiguration: () => configuration,
		isServing: () => true,
		log: createLogger('entry'),
		metrics,
	});
	return server.address.port;
};

const startByKind: Readonly<Record<ProxyKind, (upstreamPort: number) => Promise<number>>> = {
	upstream: startUpstream,
	passThrough: startPassThrough,
	entry: startEntry,
};

const [kind, upstreamPort] = process.argv.slice(2) as [ProxyKind, string];
const port = await startByKind[kind](Number(upstreamPort));
process.on('message', () => {
	const {user, system} = process.cpuUsage();
	process.send?.({processorSeconds: (user + system) / microsecondsPerSecond} satisfies ProxyUsage);
});
process.on('disconnect', () => {
	process.exit(0);
});
process.send?.({port} satisfies ProxyReady);
