/**
 * Starts a complete deployment on loopback: platform stand-in, upstream stand-ins and entries.
 */
import {mkdtemp, rm} from 'node:fs/promises';
import {createRequire} from 'node:module';
import os from 'node:os';
import process from 'node:process';
import path from 'node:path';
import {randomUUID} from 'node:crypto';
import {acceptConfiguration} from '@filbertwell/configuration/acceptConfiguration';
import {readHead} from '@filbertwell/configuration/readConfiguration';
import {silentLogger} from '@filbertwell/logger/logger';
import {createHttpPlatform, type HttpPlatform} from '@filbertwell/platform/httpPlatform';
import type {ServiceTime} from '@filbertwell/standins/serviceTime';
import type {Intent} from '@filbertwell/types/intent';
import type {SocketAddress} from '@filbertwell/types/place';
import {monotonicClock} from '@filbertwell/utils/clock';
import {createRandom} from '@filbertwell/utils/random';
import {deploymentShape, endpointCount, type DeploymentName} from './deploymentShape.js';
import {startEntry, type EntryProcess} from './entryProcess.js';
import {requestJson} from './httpJson.js';
import {reservePortBlock} from './portBlock.js';
import {startProcess, stopProcess, type RunningProcess} from './startProcess.js';
import {startUpstreams, type UpstreamProcess} from './upstreamProcess.js';
import {waitUntil} from './waitUntil.js';

/** Shape, size and settings of the deployment to start. */
export type DeploymentOptions = {
	readonly name: DeploymentName;
	readonly entries: number;
	readonly seed: number;
	readonly serviceTimeMs: ServiceTime;
	readonly responseBytes: number;
	/** Changes the shape's intent before it is applied. */
	readonly adapt: (intent: Intent) => Intent;
	/** Further lines for the settings file of each entry. */
	readonly entrySettings: readonly string[];
	/** Command-line options of Node.js for entries. */
	readonly entryNodeArguments: readonly string[];
};

/** Options for everything that the caller of `startDeployment` leaves out. */
export const defaultDeploymentOptions: DeploymentOptions = {
	name: 'rodalar',
	entries: 8,
	seed: 1,
	serviceTimeMs: {kind: 'exponential', meanMs: 10},
	responseBytes: 200,
	adapt: intent => intent,
	entrySettings: [],
	entryNodeArguments: [],
};

/** A running deployment. */
export type Deployment = {
	/** Directory with settings files and logs; deleted by `stop`. */
	readonly directory: string;
	readonly platformAddress: SocketAddress;
	readonly platform: HttpPlatform;
	readonly platformProcess: RunningProcess;
	readonly upstreams: readonly UpstreamProcess[];
	/** Entries whose processes have not exited. */
	readonly entries: () => readonly EntryProcess[];
	/** The intent that was applied last. */
	readonly intent: () => Intent;
	/** Submits an intent as the next version and returns that version. Throws if it is rejected. */
	readonly apply: (intent: Intent) => Promise<number>;
	/** Waits until each running entry has the version or a later one in force; returns `false` on timeout. */
	readonly waitInForce: (version: number, timeoutMs: number) => Promise<boolean>;
	/** Stops an entry and resolves when its process has exited. Kills the process after `graceMs`. */
	readonly stopEntry: (id: string, graceMs: number) => Promise<void>;
	/** Starts a new entry with a new id in the availability zone of the given one. */
	readonly replaceEntry: (id: string) => Promise<EntryProcess>;
	/** Stops all processes, releases the ports and deletes the directory. */
	readonly stop: () => Promise<void>;
};

const startTimeoutMs = 30_000;
const stopGraceMs = 3000;
/** One port each for callers, operators and peers. */
const portsPerEntry = 3;
const platformTimeoutMs = 5000;
const platformScript = createRequire(import.meta.url).resolve('@filbertwell/standins/platformMain');
const host = '127.0.0.1';

const startPlatform = async (port: number, directory: string): Promise<RunningProcess> => {
	const running = startProcess({
		name: 'platform', script: platformScript, arguments: ['--port', String(port)], logFile: path.join(directory, 'platform.log'),
	});
	const isListening = await waitUntil(async () => {
		const answer = await requestJson('GET', `http://${host}:${port}/statistics`);
		return answer?.status === 200;
	}, startTimeoutMs);
	if (!isListening) {
		running.signal('SIGKILL');
		throw new Error(`the platform stand-in did not listen within ${startTimeoutMs} ms; see ${directory}`);
	}

	return running;
};

/**
 * Starts a deployment, applies its intent and waits until every entry is ready.
 *
 * @param overrides - Options that replace those of `defaultDeploymentOptions`.
 * @returns The running deployment; its `stop` ends all processes.
 * @throws If the intent is not accepted, or if a process is not ready within its start timeout.
 */
export const startDeployment = async (overrides: Partial<DeploymentOptions> = {}): Promise<Deployment> => {
	const options = {...defaultDeploymentOptions, ...overrides};
	const directory = await mkdtemp(path.join(os.tmpdir(), `filbertwell-${options.name}-`));
	const random = createRandom((options.seed * 7919) + process.pid);
	const shape = deploymentShape(options.name);
	const ports = await reservePortBlock(random);
	const basePort = ports.take(endpointCount(shape.createIntent({host, basePort: 1})));
	let intent = options.adapt(shape.createIntent({host, basePort}));
	const zones = intent.regions.flatMap(region => region.availabilityZones.map(availabilityZone => ({region: region.name, availabilityZone})));

	const platformAddress = {host, port: ports.take(1)};
	const firstControlPort = ports.take(zones.length);
	const platformProcess = await startPlatform(platformAddress.port, directory);
	const platform = createHttpPlatform({
		address: platformAddress, timeoutMs: platformTimeoutMs, clock: monotonicClock, random, log: silentLogger,
	});
	const upstreams = await Promise.all(zones.map(async ({availabilityZone}, index) => startUpstreams({
		intent,
		availabilityZone,
		controlPort: firstControlPort + index,
		serviceTimeMs: options.serviceTimeMs,
		responseBytes: options.responseBytes,
		directory,
		seed: options.seed + index,
	})));

	const entries = new Map<string, EntryProcess>();
	let started = 0;

	const addEntry = async (zone: {readonly region: string; readonly availabilityZone: string}): Promise<EntryProcess> => {
		started += 1;
		const firstPort = ports.take(portsPerEntry);
		const entry = await startEntry({
			id: `entry-${started}`,
			...zone,
			callers: {host, port: firstPort},
			admin: {host, port: firstPort + 1},
			peers: {host, port: firstPort + 2},
			platform: platformAddress,
			seeds: [...entries.values()].slice(0, 3).map(other => other.placement.peers),
			extraLines: options.entrySettings,
		}, directory, options.entryNodeArguments);
		entries.set(entry.placement.id, entry);
		return entry;
	};

	const apply = async (next: Intent): Promise<number> => {
		const head = await readHead(platform);
		const acceptance = await acceptConfiguration({
			platform,
			intent: next,
			expectedVersion: head.isOk() ? (head.value?.version ?? 0) : 0,
			changeId: randomUUID(),
			author: 'harness',
			acceptedAt: new Date().toISOString(),
		});
		if (acceptance.isErr()) {
			throw new Error(`the intent was not accepted: ${JSON.stringify(acceptance.error)}`);
		}

		intent = next;
		return acceptance.value.head.version;
	};

	const runningEntries = (): EntryProcess[] => [...entries.values()].filter(entry => !entry.process.hasExited());

	const waitInForce = async (version: number, timeoutMs: number): Promise<boolean> => waitUntil(async () => {
		const states = await Promise.all(runningEntries().map(async entry => entry.state()));
		return states.every(state => (state?.configuration?.version ?? 0) >= version);
	}, timeoutMs);

	const stop = async (): Promise<void> => {
		await Promise.all(runningEntries().map(async entry => stopProcess(entry.process, stopGraceMs)));
		await Promise.all(upstreams.map(async upstream => stopProcess(upstream.process, stopGraceMs)));
		platform.close();
		await stopProcess(platformProcess, stopGraceMs);
		ports.release();
		await rm(directory, {recursive: true, force: true});
	};

	await apply(intent);
	for (let index = 0; index < options.entries; index += 1) {
		await addEntry(zones[index % zones.length]!); // eslint-disable-line no-await-in-loop -- later entries use earlier ones as seeds
	}

	const areEntriesReady = await waitUntil(async () => {
		const states = await Promise.all(runningEntries().map(async entry => entry.isReady()));
		return runningEntries().length === options.entries && states.every(Boolean);
	}, startTimeoutMs);
	if (!areEntriesReady) {
		throw new Error(`the entries were not ready within ${startTimeoutMs} ms; see the logs in ${directory}`);
	}

	return {
		directory,
		platformAddress,
		platform,
		platformProcess,
		upstreams,
		entries: () => runningEntries(),
		intent: () => intent,
		apply,
		waitInForce,
		async stopEntry(id, graceMs) {
			const entry = entries.get(id);
			if (entry !== undefined) {
				await stopProcess(entry.process, graceMs);
			}
		},
		async replaceEntry(id) {
			const {region, availabilityZone} = entries.get(id)!.placement;
			return addEntry({region, availabilityZone});
		},
		stop,
	};
};
