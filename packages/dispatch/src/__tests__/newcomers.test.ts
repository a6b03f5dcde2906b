import {createManualClock} from '@filbertwell/utils/clock';
import {describe, expect, test} from 'vitest';
import {createNewcomers} from '../newcomers.js';
import {trackEndpoint} from '../trackedEndpoint.js';
import {sampleEndpoint} from './dispatchFixture.js';

describe('an endpoint that joins and is the place of no key', () => {
	const createFixture = () => {
		const clock = createManualClock();
		const ids = ['a', 'b', 'c'];
		const instances = ids.map(id => createNewcomers(clock.now, id, () => ids));
		const join = (coldForMs: number) => trackEndpoint(clock.now, {
			endpoint: sampleEndpoint('new'), firstSeenAtMs: clock.now(), coldUntilMs: coldForMs === 0 ? 0 : clock.now() + coldForMs,
		});
		return {clock, instances, join};
	};

	test('gets a request of one instance, once it is warm', () => {
		const {clock, instances, join} = createFixture();
		clock.advance(20_000);
		const endpoint = join(3000);
		clock.advance(3500);
		expect(instances.some(({due}) => due([endpoint]) !== undefined)).toBe(false);
		clock.advance(1000);
		expect(instances.filter(({due}) => due([endpoint]) === endpoint)).toHaveLength(1);
	});

	test('gets no other once it had one', () => {
		const {clock, instances, join} = createFixture();
		clock.advance(20_000);
		const endpoint = join(0);
		clock.advance(2000);
		endpoint.start(100);
		expect(instances.some(({due}) => due([endpoint]) !== undefined)).toBe(false);
	});

	test('is none where it was there from the start', () => {
		const {clock, instances, join} = createFixture();
		const endpoint = join(0);
		clock.advance(20_000);
		expect(instances.some(({due}) => due([endpoint]) !== undefined)).toBe(false);
	});
});
