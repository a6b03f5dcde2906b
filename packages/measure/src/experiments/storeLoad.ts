/**
 * Experiment `store-load`: measures the load of idle members on the platform, with 8 to 64 control
 * planes in one process over loopback. Up to 16 members, all of them poll the head, which is the
 * baseline; with more members, only a few in each zone do.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {acceptConfiguration} from '@filbertwell/configuration/acceptConfiguration';
import {startControlPlane, type ControlPlane} from '@filbertwell/entry/controlPlane';
import {startRegistration, type Registration} from '@filbertwell/entry/instanceRegistration';
import {silentLogger} from '@filbertwell/logger/logger';
import {createMetrics} from '@filbertwell/metrics/createMetrics';
import {createPlatformStandin, type PlatformStandin} from '@filbertwell/standins/platformStandin';
import {monotonicClock as clock} from '@filbertwell/utils/clock';
import {createRandom} from '@filbertwell/utils/random';
import {createHttpPlatform} from '@filbertwell/platform/httpPlatform';
import type {Experiment} from '../experiment.js';
import {createSmallIntent} from '../smallIntent.js';

const sizes = [8, 16, 32, 64] as const;
const zones = 6;
const targetMembers = 890;
const targetZones = 24;
const pollersPerZone = 2;
const pollMs = 1000;
const backstopMs = 30_000;
const settleMs = 5000;
/** One full interval of the backstop polls, so that each member polls once within it. */
const windowMs = backstopMs;
const millisecondsPerSecond = 1000;
const maximumReadsPerSecond = 100;
const host = '127.0.0.1';

type Rates = {
	readonly members: number;
	readonly readsPerSecond: number;
	readonly writesPerSecond: number;
	readonly headReadsPerSecond: number;
};

const startMember = async (standin: PlatformStandin, index: number, seed: number, seeds: ControlPlane[]) => {
	const random = createRandom((seed * 1000) + index);
	const control = await startControlPlane({
		settings: {
			process: {
				id: `entry-${index}`, region: `region-${index % 3}`, availabilityZone: `zone-${index % zones}`, site: 'site-1',
			},
			peers: {host, port: 0, seeds: seeds.slice(0, 3).map(({channel}) => channel.address)},
			platform: {...standin.address, timeoutMs: 2000, maximumCalls: 16},
			configuration: {pollMs, backstopMs},
			membership: {
				heartbeatMs: 500, suspectMs: 2000, forgetMs: 10_000, listMs: 2000,
			},
		},
		role: 'entry',
		callerAddress: {host, port: 1},
		clock,
		random,
		metrics: createMetrics({maximumLabelSets: 100}),
	});
	const registration = startRegistration({
		instances: control.platform.instances,
		instance: {
			id: `entry-${index}`, kind: 'entry', host, port: control.channel.address.port, availabilityZone: `zone-${index % zones}`,
		},
		random,
		log: silentLogger,
	});
	return {control, registration};
};

const measure = async (members: number, seed: number): Promise<Rates> => {
	const standin = await createPlatformStandin({host, port: 0});
	const operator = createHttpPlatform({
		address: standin.address, timeoutMs: 5000, clock, random: createRandom(seed), log: silentLogger,
	});
	await acceptConfiguration({
		platform: operator, intent: createSmallIntent('rest'), expectedVersion: 0, changeId: 'first', author: 'ana', acceptedAt: '',
	});
	operator.close();
	const controls: ControlPlane[] = [];
	const registrations: Registration[] = [];
	for (let index = 0; index < members; index += 1) {
		const {control, registration} = await startMember(standin, index, seed, controls); // eslint-disable-line no-await-in-loop -- later members take earlier ones as seeds
		controls.push(control);
		registrations.push(registration);
	}

	await delay(settleMs);
	const before = standin.statistics();
	const startedAt = clock();
	await delay(windowMs);
	const after = standin.statistics();
	const seconds = (clock() - startedAt) / millisecondsPerSecond;
	await Promise.all(registrations.map(async registration => registration.remove()));
	await Promise.all(controls.map(async control => control.stop()));
	await standin.close();
	const headReads = (after.operations['table.read'] ?? 0) - (before.operations['table.read'] ?? 0);
	return {
		members,
		readsPerSecond: (after.reads - before.reads) / seconds,
		writesPerSecond: (after.writes - before.writes) / seconds,
		headReadsPerSecond: headReads / seconds,
	};
};

/**
 * Extrapolates the reads a second to the target scale. Reads of the head grow by their slope between
 * two sizes, and by the pollers of the additional zones. All other reads stay constant, since members
 * read the instance list less often the more members there are.
 */
const extrapolate = (small: Rates, large: Rates, furtherPollers: number): {readonly slope: number; readonly atTarget: number} => {
	const slope = (large.headReadsPerSecond - small.headReadsPerSecond) / (large.members - small.members);
	const pollReadsPerSecond = furtherPollers * millisecondsPerSecond / pollMs;
	return {slope, atTarget: large.readsPerSecond + (slope * (targetMembers - large.members)) + pollReadsPerSecond};
};

/** Measures the reads and writes a second of idle members. */
export const experiment: Experiment = {
	name: 'store-load',
	description: 'The platform\'s reads and writes a second by 8 to 64 processes at rest, with the slope to 890',
	async run({seed}) {
		const rates: Rates[] = [];
		for (const size of sizes) {
			rates.push(await measure(size, seed)); // eslint-disable-line no-await-in-loop -- one size at a time
		}

		const [first, second, third, fourth] = rates as [Rates, Rates, Rates, Rates];
		const withAllPolling = extrapolate(first, second, 0);
		const withFewPolling = extrapolate(third, fourth, (targetZones - zones) * pollersPerZone);
		return {
			experiment: 'store-load',
			seed,
			baseline: {
				readsPerSecondAt8: first.readsPerSecond, readsPerSecondAt16: second.readsPerSecond, headReadsPerSecondPerMember: withAllPolling.slope, readsPerSecondAtTarget: withAllPolling.atTarget,
			},
			value: {
				readsPerSecondAt32: third.readsPerSecond,
				readsPerSecondAt64: fourth.readsPerSecond,
				headReadsPerSecondAt64: fourth.headReadsPerSecond,
				writesPerSecondAt64: fourth.writesPerSecond,
				headReadsPerSecondPerMember: withFewPolling.slope,
				readsPerSecondAtTarget: withFewPolling.atTarget,
			},
			ratio: withFewPolling.atTarget / withAllPolling.atTarget,
			bound: `at most ${maximumReadsPerSecond} reads a second with ${targetMembers} members in ${targetZones} availability zones, by the slope`,
			ok: withFewPolling.atTarget <= maximumReadsPerSecond,
		};
	},
};
