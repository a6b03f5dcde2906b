/**
 * Experiment `proxy-cost`: compares the cost that an entry adds to a request with that of a plain
 * pass-through proxy on Node's `http`. Each runs in a separate process, so that its processor time
 * can be measured.
 */
import {fork, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {Agent} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import type {SocketAddress} from '@filbertwell/types/place';
import {sendAttempt} from '@filbertwell/load/attempt';
import {createLatencyHistograms} from '@filbertwell/load/latencyHistograms';
import type {Experiment, Figures} from '../experiment.js';
import {roundTo} from '../requestPath/benchLoad.js';
import type {ProxyKind, ProxyReady, ProxyUsage} from '../requestPath/proxyProcess.js';

const proxyScript = fileURLToPath(new URL('../requestPath/proxyProcess.js', import.meta.url));
const concurrentRequests = 24;
const openLoopPerSecond = 300;
const phaseMs = 3000;
const rounds = 2;
const minimumRatio = 0.7;
const path = '/inventory/items';

type ProxyProcess = {
	readonly address: SocketAddress;
	readonly usage: () => Promise<ProxyUsage>;
	readonly stop: () => Promise<void>;
};

const startProxy = async (kind: ProxyKind, upstream: SocketAddress | undefined): Promise<ProxyProcess> => {
	const child: ChildProcess = fork(proxyScript, [kind, upstream === undefined ? '0' : String(upstream.port)]);
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

/** Measures the requests per second of the proxy's processor time under constant concurrency. */
const measureRate = async (proxy: ProxyProcess): Promise<number> => {
	const agent = new Agent({keepAlive: true});
	const before = await proxy.usage();
	const endAtMs = performance.now() + phaseMs;
	let answered = 0;
	await Promise.all(Array.from({length: concurrentRequests}, async () => {
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
	const latencies = createLatencyHistograms();
	const startedAtMs = performance.now();
	const running: Array<Promise<void>> = [];
	for (let sent = 0; sent < openLoopPerSecond * phaseMs / 1000; sent += 1) {
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
	return latencies.summarize().all!;
};

const figuresOf = async (proxy: ProxyProcess, direct: {readonly p50Ms: number; readonly p99Ms: number}, rates: readonly number[]): Promise<Figures> => {
	const {p50Ms, p99Ms} = await measureLatency(proxy.address);
	return {
		addedP50Ms: roundTo(p50Ms - direct.p50Ms, 3),
		addedP99Ms: roundTo(p99Ms - direct.p99Ms, 3),
		requestsPerCoreSecond: roundTo(rates.reduce((sum, rate) => sum + rate, 0) / rates.length, 0),
	};
};

/** Measures the cost of an entry against a pass-through proxy. */
export const experiment: Experiment = {
	name: 'proxy-cost',
	description: 'Added p50 and p99, and requests per second of one core, compared with a plain pass-through proxy',
	async run({seed}) {
		const upstream = await startProxy('upstream', undefined);
		const passThrough = await startProxy('passThrough', upstream.address);
		const entry = await startProxy('entry', upstream.address);
		const passThroughRates: number[] = [];
		const entryRates: number[] = [];
		await measureRate(passThrough);
		await measureRate(entry);
		for (let round = 0; round < rounds; round += 1) {
			passThroughRates.push(await measureRate(passThrough)); // eslint-disable-line no-await-in-loop
			entryRates.push(await measureRate(entry)); // eslint-disable-line no-await-in-loop
		}

		const direct = await measureLatency(upstream.address);
		const baseline = await figuresOf(passThrough, direct, passThroughRates);
		const value = await figuresOf(entry, direct, entryRates);
		await Promise.all([entry.stop(), passThrough.stop(), upstream.stop()]);
		const ratio = roundTo(value.requestsPerCoreSecond! / baseline.requestsPerCoreSecond!, 3);
		return {
			experiment: 'proxy-cost',
			seed,
			baseline,
			value,
			ratio,
			bound: `requests a second for each core, entry over pass-through >= ${minimumRatio}`,
			ok: ratio >= minimumRatio,
		};
	},
};
