import {createManualClock} from '@filbertwell/utils/clock';
import {expect, test} from 'vitest';
import {regionUsageOf} from '../regionUsage.js';
import {trackEndpoint} from '../trackedEndpoint.js';
import {registered, sampleEndpoint} from './dispatchFixture.js';

/** In a large deployment, an instance has recent reports of a few of hundreds of endpoints. */
test('hundreds of endpoints add up, whether or not they have reported their load', () => {
	const clock = createManualClock();
	const endpoints = Array.from({length: 437}, (_, index) => trackEndpoint(clock.now, registered(sampleEndpoint(`endpoint-${index}`))));
	expect(regionUsageOf('south', endpoints)).toEqual({
		region: 'south', slots: 1748, effectiveSlots: 1748, load: 0,
	});
	endpoints[0]!.reportLoad({
		running: 3, waiting: 2, slots: 4, slowdown: 2,
	});
	endpoints[1]!.start(100);
	const {slots, effectiveSlots, load} = regionUsageOf('south', endpoints);
	expect(slots).toBe(1748);
	expect(effectiveSlots).toBeCloseTo(1746);
	expect(load).toBeCloseTo(6);
	clock.advance(60_000);
	expect(regionUsageOf('south', endpoints).effectiveSlots).toBeCloseTo(1748);
	expect(regionUsageOf('south', endpoints).load).toBeCloseTo(1);
});
