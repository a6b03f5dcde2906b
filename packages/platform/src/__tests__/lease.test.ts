import {silentLogger} from '@filbertwell/logger/logger';
import {createManualClock, type ManualClock} from '@filbertwell/utils/clock';
import {
	beforeEach, describe, expect, test,
} from 'vitest';
import {createLease, type Lease} from '../lease.js';
import {createMemoryPlatform, type MemoryPlatform} from '../memoryPlatform.js';
import {createMemoryState} from '../memoryState.js';
import type {Platform} from '../platform.js';
import {exploreSchedules} from './exploreSchedules.js';
import {createSteppedPlatform} from './steppedPlatform.js';

const termMs = 9000;
const renewMs = 3000;
const maximumRuns = 50_000;

let platform: MemoryPlatform;
let clock: ManualClock;
beforeEach(() => {
	platform = createMemoryPlatform();
	clock = createManualClock();
});

const leaseOf = (holder: string, view: Platform = platform, now = clock.now): Lease => createLease({
	table: view.table, name: 'collection', holder, termMs, clock: now, log: silentLogger,
});

/** One transaction of the holder's work. */
const work = async (lease: Lease, view: Platform = platform): Promise<string> => {
	const fence = lease.fence();
	if (fence === undefined) {
		return 'not holder';
	}

	const result = await view.table.transact({checks: [fence], writes: [{key: 'work', value: 'x'}]});
	return result.match(({kind}) => kind, ({kind}) => kind);
};

test('a free lease is taken, renewed, and refused to another', async () => {
	const first = leaseOf('first');
	const second = leaseOf('second');
	expect(await first.attempt()).toBe('held');
	expect(await second.attempt()).toBe('watching');
	for (let renewals = 0; renewals < 10; renewals += 1) {
		clock.advance(renewMs);
		expect(await first.attempt()).toBe('held'); // eslint-disable-line no-await-in-loop
		expect(await second.attempt()).toBe('watching'); // eslint-disable-line no-await-in-loop
	}

	expect(await work(first)).toBe('committed');
	expect(await work(second)).toBe('not holder');
});

test('a dead holder\'s lease is taken once it has been seen unchanged for a term', async () => {
	const first = leaseOf('first');
	const second = leaseOf('second');
	await first.attempt();
	clock.advance(10 * termMs);
	expect(await second.attempt()).toBe('watching');
	clock.advance(termMs - 1);
	expect(await second.attempt()).toBe('watching');
	clock.advance(1);
	expect(await second.attempt()).toBe('held');
});

test('a holder that was paused acts no more, before and after it finds out', async () => {
	const pausedClock = createManualClock();
	const paused = leaseOf('paused', platform, pausedClock.now);
	const other = leaseOf('other');
	await paused.attempt();
	await other.attempt();
	clock.advance(termMs);
	expect(await other.attempt()).toBe('held');
	// Its own clock stood still meanwhile, so it still believes that it holds the lease.
	expect(paused.fence()).toBeDefined();
	expect(await work(paused)).toBe('conflict');
	expect(await work(other)).toBe('committed');
	expect(await paused.attempt()).toBe('watching');
	expect(await work(paused)).toBe('not holder');
});

test('a holder that cannot renew stops by itself after a term, and goes on if no one took over', async () => {
	const lease = leaseOf('first');
	await lease.attempt();
	platform.setFaults([{target: 'table', kind: 'down'}]);
	clock.advance(renewMs);
	expect(await lease.attempt()).toBe('unavailable');
	expect(lease.fence()).toBeDefined();
	clock.advance(termMs - renewMs);
	expect(lease.fence()).toBeUndefined();
	platform.setFaults([]);
	expect(await lease.attempt()).toBe('held');
	expect(await work(lease)).toBe('committed');
});

test.each(['lostReply', 'down'] as const)('a takeover that meets %s ends with one holder', async kind => {
	const first = leaseOf('first');
	const second = leaseOf('second');
	platform.setFaults([{
		target: 'table', kind, access: 'write', count: 1,
	}]);
	expect(await first.attempt()).toBe('unavailable');
	expect(first.fence()).toBeUndefined();
	expect(await first.attempt()).toBe('held');
	expect(await second.attempt()).toBe('watching');
});

test('a released lease is free at once', async () => {
	const first = leaseOf('first');
	const second = leaseOf('second');
	await first.attempt();
	await first.release();
	expect(first.fence()).toBeUndefined();
	expect(await second.attempt()).toBe('held');
	await first.release();
	expect(await work(second)).toBe('committed');
});

test('rows that cannot be read count as a free lease', async () => {
	await platform.table.transact({checks: [], writes: [{key: 'lease/collection/holder', value: '{'}]});
	expect(await leaseOf('first').attempt()).toBe('held');
});

/** A platform that records which holder's work was committed, in order, replies lost or not. */
const createRecordingPlatform = () => {
	const state = createMemoryState();
	const committed: string[] = [];
	const memory = createMemoryPlatform({
		state: {
			...state,
			transact(transaction) {
				const result = state.transact(transaction);
				const done = transaction.writes.find(write => write.key === 'work')?.value;
				if (result.kind === 'committed' && done !== undefined) {
					committed.push(done);
				}

				return result;
			},
		},
	});
	return {memory, committed};
};

describe('two holders under every order of their calls', () => {
	test.each([{lostReplies: 0}, {lostReplies: 1}])('a paused holder does no work after a takeover, with $lostReplies lost replies', async ({lostReplies}) => {
		const seen = new Set<string>();
		const explored = await exploreSchedules(async ({step, choose}) => {
			const {memory, committed} = createRecordingPlatform();
			const clocks = [createManualClock(), createManualClock()] as const;
			let losses = lostReplies;

			const run = async (index: 0 | 1) => {
				const view = createSteppedPlatform(memory, async moment => {
					if (moment === 'before') {
						await step();
						const lost = losses > 0 && choose(2) === 1;
						losses -= lost ? 1 : 0;
						memory.setFaults(lost ? [{target: 'table', kind: 'lostReply'}] : []);
					}
				});
				const lease = leaseOf(`holder ${index}`, view, clocks[index].now);
				for (let round = 0; round < 2; round += 1) {
					await lease.attempt(); // eslint-disable-line no-await-in-loop
					const fence = lease.fence();
					if (fence !== undefined) {
						await view.table.transact({checks: [fence], writes: [{key: 'work', value: String(index)}]}); // eslint-disable-line no-await-in-loop
					}

					// Only the clock of holder 1 runs: holder 0 is paused all the time, as holder 1 sees it.
					clocks[1].advance(termMs);
				}
			};

			await Promise.all([run(0), run(1)]);
			const order = committed.join('');
			seen.add(order);
			expect(order).toMatch(/^0*1*$/u);
		}, maximumRuns);
		expect(explored).toBeLessThan(maximumRuns);
		expect(seen).toContain('01');
	});
});
