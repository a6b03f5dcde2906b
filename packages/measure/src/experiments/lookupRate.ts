/**
 * Experiment `lookup-rate`: measures look-ups a second per core, memory of the block table and pauses
 * of the event loop during its updates, at the target scale.
 */
import type {Member} from '@filbertwell/types/member';
import {createLookup} from '@filbertwell/steering/lookup';
import {buildBlockTable} from '@filbertwell/steering/blockTable';
import type {ClientBlock} from '@filbertwell/types/intent';
import {monotonicClock} from '@filbertwell/utils/clock';
import {createRandom, type Random} from '@filbertwell/utils/random';
import {measurePause} from '../eventLoopPause.js';
import type {Experiment} from '../experiment.js';
import {heapInUse} from '../heapInUse.js';
import {
	createBlocks, createMembers, createTargetConfiguration, targetSizes,
} from '../targetShape.js';

const requiredFactor = 10;
const maximumPauseMs = 10;
const measuredLookups = 100_000;
const warmUpLookups = 20_000;
const naiveLookups = 50;
const changedBlocks = 320;
const updates = 9;
const bytesPerMegabyte = 1_048_576;
const millisecondsPerSecond = 1000;

const randomAddress = (random: Random): string => {
	const byte = () => Math.floor(random() * 256);
	return random() < 0.8
		? `${1 + Math.floor(random() * 4)}.${byte()}.${byte()}.${byte()}`
		: `2001:${(1 + Math.floor(random() * 65_535)).toString(16)}:1::${byte().toString(16)}`;
};

const ratePerSecond = (count: number, work: (index: number) => void): number => {
	const startedAt = monotonicClock();
	for (let index = 0; index < count; index++) {
		work(index);
	}

	return (count * millisecondsPerSecond) / (monotonicClock() - startedAt);
};

const median = (values: readonly number[]): number => values.toSorted((a, b) => a - b)[Math.floor(values.length / 2)]!;

/** Assigns a different preference to a contiguous range of blocks, as a change of the configuration does. */
const changeBlocks = (blocks: readonly ClientBlock[], update: number): ClientBlock[] => {
	const start = Math.floor((blocks.length * (update + 1)) / (updates + 2));
	const changed = blocks.slice(start, start + changedBlocks).map(({prefix}) => ({prefix, preference: `preference-${update}`}));
	return blocks.toSpliced(start, changedBlocks, ...changed);
};

/** Creates blocks as the follower holds them in memory: a separate string for each prefix, one shared string for each preference. */
const createFollowedBlocks = (random: Random): ClientBlock[] => {
	const names = new Map<string, string>();
	return structuredClone(createBlocks(targetSizes.blocks, random)).map(({prefix, preference}) => {
		const name = names.get(preference) ?? preference;
		names.set(name, name);
		return {prefix, preference: name};
	});
};

const buildWithoutYielding = (blocks: readonly ClientBlock[]) => {
	const work = buildBlockTable(blocks);
	let step = work.next();
	while (!step.done) {
		step = work.next();
	}

	return step.value;
};

/** Creates a look-up that compares the address with each block in turn, as the baseline. */
const createNaiveLookup = (blocks: readonly ClientBlock[]) => {
	const parsed = blocks.map(block => ({block, prefixParts: block.prefix.split('/', 1)[0]!.replace(/:*$/v, '').split(/[.:]/v)}));
	return (address: string): ClientBlock | undefined => {
		const parts = address.split(/[.:]/v);
		return parsed.find(({prefixParts}) => prefixParts.slice(0, 3).every((part, index) => part === parts[index]))?.block;
	};
};

/** Measures the rate of look-ups and the cost of updates. */
export const experiment: Experiment = {
	name: 'lookup-rate',
	description: 'look-ups a second for each core with 320,000 blocks, 200 sites and 890 members; map memory and update pause',
	async run({seed}) {
		const random = createRandom(seed);
		const heapBefore = heapInUse();
		const blocks = createFollowedBlocks(random);
		const configurationMegabytes = (heapInUse() - heapBefore) / bytesPerMegabyte;
		let members: readonly Member[] = createMembers(targetSizes.nodes);
		const lookup = createLookup({members: () => members});
		const first = await measurePause(async () => lookup.update(createTargetConfiguration(random, blocks)));
		const addresses = Array.from({length: measuredLookups}, () => randomAddress(random));
		const answer = (index: number) => lookup.answer('catalogue', addresses[index % addresses.length]!);

		ratePerSecond(warmUpLookups, answer);
		const lookupsPerSecond = ratePerSecond(measuredLookups, answer);
		const withChangingMembers = ratePerSecond(measuredLookups, index => {
			if (index % targetSizes.lookupsPerSecondOfNode === 0) {
				members = members.map((member, at) => at === index % members.length ? {...member, incarnation: member.incarnation + 1} : member);
			}

			answer(index);
		});

		const pausesMs: number[] = [];
		const durationsMs: number[] = [];
		let current: readonly ClientBlock[] = blocks;
		for (let update = 0; update < updates; update++) {
			current = changeBlocks(current, update);
			const configuration = createTargetConfiguration(random, current, update + 2);
			// Collects the garbage from creating the change, so that it is not collected during the update.
			heapInUse();
			const measured = await measurePause(async () => lookup.update(configuration)); // eslint-disable-line no-await-in-loop
			pausesMs.push(measured.worstPauseMs);
			durationsMs.push(measured.durationMs);
		}

		const unsplitBuild = await measurePause(async () => buildWithoutYielding(current));
		const naiveLookup = createNaiveLookup(blocks);
		const naivePerSecond = ratePerSecond(naiveLookups, index => naiveLookup(addresses[index]!));
		const factor = lookupsPerSecond / targetSizes.lookupsPerSecondOfNode;
		const medianPauseMs = median(pausesMs);
		const tableMegabytes = lookup.size().tableBytes / bytesPerMegabyte;

		return {
			experiment: 'lookup-rate',
			seed,
			baseline: {lookupsPerSecond: naivePerSecond, updatePauseMs: unsplitBuild.worstPauseMs},
			value: {
				lookupsPerSecond,
				lookupsPerSecondWithChangingMembers: withChangingMembers,
				tableMegabytes,
				configurationMegabytes,
				firstBuildMs: first.durationMs,
				updateMs: median(durationsMs),
				updatePauseMedianMs: medianPauseMs,
				updatePauseWorstMs: Math.max(...pausesMs),
			},
			ratio: factor,
			bound: `at least ${requiredFactor}x ${targetSizes.lookupsPerSecondOfNode} look-ups a second for each core; `
				+ `no pause over ${maximumPauseMs} ms in the median of ${updates} updates; table under ${targetSizes.controlMegabytes} MB`,
			ok: factor >= requiredFactor && medianPauseMs <= maximumPauseMs && tableMegabytes < targetSizes.controlMegabytes,
		};
	},
};
