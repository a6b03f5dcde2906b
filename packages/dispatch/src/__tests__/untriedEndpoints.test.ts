import {createManualClock} from '@filbertwell/utils/clock';
import {describe, expect, test} from 'vitest';
import {createUntriedEndpoints} from '../untriedEndpoints.js';
import {trackEndpoint} from '../trackedEndpoint.js';
import {sampleEndpoint} from './dispatchFixture.js';

describe('new endpoint that is the affinity endpoint of no key', () => {
	const createFixture = () => {
		const clock = createManualClock();
		const ids = ['a', 'b', 'c'];
		const instances = ids.map(id => createUntriedEndpoints(clock.now, id, () => ids));
		const join = (coldForMs: number) => trackEndpoint(clock.now, {
			endpoint: sampleEndpoint('new'), firstSeenAtMs: clock.now(), coldUntilMs: coldForMs === 0 ? 0 : clock.now() + coldForMs,
		});
		return {clock, instances, join};
	};

	test('is tried by exactly one instance after it has become warm', () => {
		const {clock, instances, join} = createFixture();
		clock.advance(20_000);
		const endpoint = join(3000);
		clock.advance(3500);
		expect(instances.some(({findToTry}) => findToTry([endpoint]) !== undefined)).toBe(false);
		clock.advance(1000);
		expect(instances.filter(({findToTry}) => findToTry([endpoint]) === endpoint)).toHaveLength(1);
	});

	test('is not tried after it has received a request', () => {
		const {clock, instances, join} = createFixture();
		clock.advance(20_000);
		const endpoint = join(0);
		clock.advance(2000);
		endpoint.start(100);
		expect(instances.some(({findToTry}) => findToTry([endpoint]) !== undefined)).toBe(false);
	});

	test('is not tried if it was already there at the start of the process', () => {
		const {clock, instances, join} = createFixture();
		const endpoint = join(0);
		clock.advance(20_000);
		expect(instances.some(({findToTry}) => findToTry([endpoint]) !== undefined)).toBe(false);
	});
});
