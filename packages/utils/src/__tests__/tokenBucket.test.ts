import {expect, test} from 'vitest';
import {createManualClock} from '../clock.js';
import {createTokenBucket} from '../tokenBucket.js';

test('an idle bucket gathers no more than its burst', () => {
	const clock = createManualClock();
	const bucket = createTokenBucket(clock.now, {tokensPerSecond: 10, burst: 5});
	clock.advance(60_000);
	expect(bucket.level()).toBe(5);
	expect(bucket.tryTake(5)).toBe(true);
	expect(bucket.tryTake(1)).toBe(false);
});

test('debt is paid back at the rate before tokens are given again', () => {
	const clock = createManualClock();
	const bucket = createTokenBucket(clock.now, {tokensPerSecond: 10, burst: 5});
	bucket.takeDebt(15);
	clock.advance(1000);
	expect(bucket.tryTake(1)).toBe(false);
	clock.advance(100);
	expect(bucket.tryTake(1)).toBe(true);
});
