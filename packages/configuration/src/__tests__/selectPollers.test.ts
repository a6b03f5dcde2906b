import fc from 'fast-check';
import {expect, test} from 'vitest';
import {selectPollers, type PollerCandidate} from '../selectPollers.js';

const createMembers = (count: number, zones: number): PollerCandidate[] => Array.from({length: count}, (_, index) => ({
	id: `entry-${index}`, availabilityZone: `zone-${index % zones}`,
}));

test('all members poll if there are few', () => {
	expect(selectPollers({members: createMembers(8, 6), pollersPerZone: 2, allPollThreshold: 24}).size).toBe(8);
});

test('890 members in 24 availability zones have two pollers in each', () => {
	const members = createMembers(890, 24);
	const pollers = selectPollers({members, pollersPerZone: 2, allPollThreshold: 24});
	const zones = members.filter(member => pollers.has(member.id)).map(member => member.availabilityZone);
	expect(pollers.size).toBe(48);
	expect(new Set(zones).size).toBe(24);
});

test('when a member leaves, at most one other becomes a poller and the remaining pollers stay the same', () => {
	fc.assert(fc.property(fc.integer({min: 30, max: 120}), fc.integer({min: 1, max: 8}), fc.nat(), (count, zones, pick) => {
		const members = createMembers(count, zones);
		const removedMember = members[pick % count]!;
		const options = {pollersPerZone: 2, allPollThreshold: 8};
		const before = selectPollers({...options, members});
		const after = selectPollers({...options, members: members.filter(member => member !== removedMember)});
		const added = [...after].filter(id => !before.has(id));
		const removed = [...before].filter(id => !after.has(id));
		expect(removed).toEqual(before.has(removedMember.id) ? [removedMember.id] : []);
		expect(added.length).toBeLessThanOrEqual(removed.length);
	}), {seed: 3, numRuns: 200});
});
