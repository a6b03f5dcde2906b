/**
 * What an entry adds to a request, set beside a bare pass-through on Node's `http` that does
 * nothing else. Each runs in a process of its own, so that its processor time can be told.
 */
import {fork, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {Agent} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import type {SocketAddress} from '@filbertwell/types/place';
import {sendAttempt} from '@filbertwell/load/attempt';
import {createLatencies} from '@filbertwell/load/latencies';
import type {Experiment, Figures} from '../experiment.js';
import {roundTo} from '../requestPath/benchLoad.js';
import type {ProxyKind, ProxyReady, ProxyUsage} from '../requestPath/proxyProcess.js';

const program = fileURLToPath(new URL('../requestPath/proxyProcess.js', import.meta.url));
const requestsAtOnce = 24;
const openLoopPerSecond = 300;
const partMs = 3000;
const rounds = 2;
const leastRatio = 0.7;
const path = '/inventory/items';

type Proxy = {
	readonly address: SocketAddress;
	readonly usage: () => Promise<ProxyUsage>;
	readonly stop: () => Promise<void>;
};

const startProxy = async (kind: ProxyKind, upstream: SocketAddress | undefined): Promise<Proxy> => {
	const child: ChildProcess = fork(program, [kind, upstream === undefined ? '0' : String(upstream.port)]);
	const [ready] = await once(child, 'message') as [ProxyReady];
	return {
		address: {host: '127.0.0.1', port: ready.port},
		async usage() {
			const answer = once(child, 'message') as Promise<[ProxyUsage]>;
			child.send('usage');
			const [usage] = await answer;
			return usage;
		},
		async stop() {
			const exited = once(child, 'exit');
			child.disconnect();
			await exited;
		},
	};
};

const request = async (address: SocketAddress, agent: Agent) => sendAttempt({
	address, method: 'GET', path, headers: {}, body: '', timeoutMs: 10_000, agent,
});

/** Requests for each second of the proxy's own processor time, while it is kept busy. */
const measureRate = async (proxy: Proxy): Promise<number> => {
	const agent = new Agent({keepAlive: true});
	const before = await proxy.usage();
	const endAtMs = performance.now() + partMs;
	let answered = 0;
	await Promise.all(Array.from({length: requestsAtOnce}, async () => {
		while (performance.now() < endAtMs) {
			const {status} = await request(proxy.address, agent); // eslint-disable-line no-await-in-loop
			answered += status === 200 ? 1 : 0;
		}
	}));
	const after = await proxy.usage();
	agent.destroy();
	return answered / (after.processorSeconds - before.processorSeconds);
};

const measureLatency = async (address: SocketAddress) => {
	const agent = new Agent({keepAlive: true});
	const latencies = createLatencies();
	const startedAtMs = performance.now();
	const running: Array<Promise<void>> = [];
	for (let sent = 0; sent < openLoopPerSecond * partMs / 1000; sent += 1) {
		const intendedAtMs = startedAtMs + (sent * 1000 / openLoopPerSecond);
		const waitMs = intendedAtMs - performance.now();
		if (waitMs > 0) {
			await delay(waitMs); // eslint-disable-line no-await-in-loop
		}

		running.push((async () => {
			await request(address, agent);
			latencies.record('all', performance.now() - intendedAtMs);
		})());
	}

	await Promise.all(running);
	agent.destroy();
	return latencies.figures().all!;
};

const figuresOf = async (proxy: Proxy, direct: {readonly p50Ms: number; readonly p99Ms: number}, rates: readonly number[]): Promise<Figures> => {
	const {p50Ms, p99Ms} = await measureLatency(proxy.address);
	return {
		addedP50Ms: roundTo(p50Ms - direct.p50Ms, 3),
		addedP99Ms: roundTo(p99Ms - direct.p99Ms, 3),
		requestsPerCoreSecond: roundTo(rates.reduce((sum, rate) => sum + rate, 0) / rates.length, 0),
	};
};

/** Cost of the entry beside a bare pass-through. */
export const experiment: Experiment = {
	name: 'proxy-cost',
	description: 'Added p50 and p99, and requests for each second of one core, beside a bare pass-through',
	async run({seed}) {
		const upstream = await startProxy('upstream', undefined);
		const bare = await startProxy('passThrough', upstream.address);
		const entry = await startProxy('entry', upstream.address);
		const bareRates: number[] = [];
		const entryRates: number[] = [];
		await measureRate(bare);
		await measureRate(entry);
		for (let round = 0; round < rounds; round += 1) {
			bareRates.push(await measureRate(bare)); // eslint-disable-line no-await-in-loop
			entryRates.push(await measureRate(entry)); // eslint-disable-line no-await-in-loop
		}

		const direct = await measureLatency(upstream.address);
		const baseline = await figuresOf(bare, direct, bareRates);
		const value = await figuresOf(entry, direct, entryRates);
		await Promise.all([entry.stop(), bare.stop(), upstream.stop()]);
		const ratio = roundTo(value.requestsPerCoreSecond! / baseline.requestsPerCoreSecond!, 3);
		return {
			experiment: 'proxy-cost',
			seed,
			baseline,
			value,
			ratio,
			bound: `requests a second for each core, entry over pass-through >= ${leastRatio}`,
			ok: ratio >= leastRatio,
		};
	},
};
