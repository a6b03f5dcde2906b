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

const createTestLease = (holder: string, view: Platform = platform, now = clock.now): Lease => createLease({
	table: view.table, name: 'collection', holder, termMs, clock: now, log: silentLogger,
});

/** Commits one transaction of the holder's work; returns its outcome. */
const commitWork = async (lease: Lease, view: Platform = platform): Promise<string> => {
	const fence = lease.fence();
	if (fence === undefined) {
		return 'not holder';
	}

	const result = await view.table.transact({checks: [fence], writes: [{key: 'work', value: 'x'}]});
	return result.match(({kind}) => kind, ({kind}) => kind);
};

test('a free lease is acquired and renewed, and another process does not acquire it', async () => {
	const first = createTestLease('first');
	const second = createTestLease('second');
	expect(await first.acquireOrRenew()).toBe('held');
	expect(await second.acquireOrRenew()).toBe('watching');
	for (let renewals = 0; renewals < 10; renewals += 1) {
		clock.advance(renewMs);
		expect(await first.acquireOrRenew()).toBe('held'); // eslint-disable-line no-await-in-loop
		expect(await second.acquireOrRenew()).toBe('watching'); // eslint-disable-line no-await-in-loop
	}

	expect(await commitWork(first)).toBe('committed');
	expect(await commitWork(second)).toBe('not holder');
});

test('the lease of a crashed holder is acquired after it was observed unchanged for a term', async () => {
	const first = createTestLease('first');
	const second = createTestLease('second');
	await first.acquireOrRenew();
	clock.advance(10 * termMs);
	expect(await second.acquireOrRenew()).toBe('watching');
	clock.advance(termMs - 1);
	expect(await second.acquireOrRenew()).toBe('watching');
	clock.advance(1);
	expect(await second.acquireOrRenew()).toBe('held');
});

test('a holder that was paused cannot commit, before and after it notices the takeover', async () => {
	const pausedClock = createManualClock();
	const paused = createTestLease('paused', platform, pausedClock.now);
	const other = createTestLease('other');
	await paused.acquireOrRenew();
	await other.acquireOrRenew();
	clock.advance(termMs);
	expect(await other.acquireOrRenew()).toBe('held');
	// Its own clock did not advance, so it still considers the lease held.
	expect(paused.fence()).toBeDefined();
	expect(await commitWork(paused)).toBe('conflict');
	expect(await commitWork(other)).toBe('committed');
	expect(await paused.acquireOrRenew()).toBe('watching');
	expect(await commitWork(paused)).toBe('not holder');
});

test('a holder that cannot renew stops after a term, and continues if no other process took over', async () => {
	const lease = createTestLease('first');
	await lease.acquireOrRenew();
	platform.setFaults([{target: 'table', kind: 'down'}]);
	clock.advance(renewMs);
	expect(await lease.acquireOrRenew()).toBe('unavailable');
	expect(lease.fence()).toBeDefined();
	clock.advance(termMs - renewMs);
	expect(lease.fence()).toBeUndefined();
	platform.setFaults([]);
	expect(await lease.acquireOrRenew()).toBe('held');
	expect(await commitWork(lease)).toBe('committed');
});

test.each(['lostReply', 'down'] as const)('an acquisition with the fault %s ends with one holder', async kind => {
	const first = createTestLease('first');
	const second = createTestLease('second');
	platform.setFaults([{
		target: 'table', kind, access: 'write', count: 1,
	}]);
	expect(await first.acquireOrRenew()).toBe('unavailable');
	expect(first.fence()).toBeUndefined();
	expect(await first.acquireOrRenew()).toBe('held');
	expect(await second.acquireOrRenew()).toBe('watching');
});

test('a released lease can be acquired immediately', async () => {
	const first = createTestLease('first');
	const second = createTestLease('second');
	await first.acquireOrRenew();
	await first.release();
	expect(first.fence()).toBeUndefined();
	expect(await second.acquireOrRenew()).toBe('held');
	await first.release();
	expect(await commitWork(second)).toBe('committed');
});

test('a lease whose row cannot be parsed counts as free', async () => {
	await platform.table.transact({checks: [], writes: [{key: 'lease/collection/holder', value: '{'}]});
	expect(await createTestLease('first').acquireOrRenew()).toBe('held');
});

/** Creates a platform that records whose work was committed, in order, even if the reply is lost. */
const createRecordingPlatform = () => {
	const state = createMemoryState();
	const committed: string[] = [];
	const memory = createMemoryPlatform({
		state: {
			...state,
			transact(transaction) {
				const result = state.transact(transaction);
				const worker = transaction.writes.find(write => write.key === 'work')?.value;
				if (result.kind === 'committed' && worker !== undefined) {
					committed.push(worker);
				}

				return result;
			},
		},
	});
	return {memory, committed};
};

describe('two processes with every order of their calls', () => {
	test.each([{lostReplies: 0}, {lostReplies: 1}])('a paused holder commits no work after a takeover, with $lostReplies lost replies', async ({lostReplies}) => {
		const observedOrders = new Set<string>();
		const explored = await exploreSchedules(async ({step, choose}) => {
			const {memory, committed} = createRecordingPlatform();
			const clocks = [createManualClock(), createManualClock()] as const;
			let remainingLosses = lostReplies;

			const run = async (index: 0 | 1) => {
				const view = createSteppedPlatform(memory, async waitPoint => {
					if (waitPoint === 'before') {
						await step();
						const isLost = remainingLosses > 0 && choose(2) === 1;
						remainingLosses -= isLost ? 1 : 0;
						memory.setFaults(isLost ? [{target: 'table', kind: 'lostReply'}] : []);
					}
				});
				const lease = createTestLease(`holder ${index}`, view, clocks[index].now);
				for (let round = 0; round < 2; round += 1) {
					await lease.acquireOrRenew(); // eslint-disable-line no-await-in-loop
					const fence = lease.fence();
					if (fence !== undefined) {
						await view.table.transact({checks: [fence], writes: [{key: 'work', value: String(index)}]}); // eslint-disable-line no-await-in-loop
					}

					// Only the clock of process 1 advances, so process 0 appears paused to it all the time.
					clocks[1].advance(termMs);
				}
			};

			await Promise.all([run(0), run(1)]);
			const order = committed.join('');
			observedOrders.add(order);
			expect(order).toMatch(/^0*1*$/u);
		}, maximumRuns);
		expect(explored).toBeLessThan(maximumRuns);
		expect(observedOrders).toContain('01');
	});
});
