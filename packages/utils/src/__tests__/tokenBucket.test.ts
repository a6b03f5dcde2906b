import {expect, test} from 'vitest';
import {createManualClock} from '../clock.js';
import {createTokenBucket} from '../tokenBucket.js';

test('an idle bucket accumulates at most its burst', () => {
	const clock = createManualClock();
	const bucket = createTokenBucket(clock.now, {tokensPerSecond: 10, burst: 5});
	clock.advance(60_000);
	expect(bucket.level()).toBe(5);
	expect(bucket.tryTake(5)).toBe(true);
	expect(bucket.tryTake(1)).toBe(false);
});

test('no tokens are available until a negative level is refilled', () => {
	const clock = createManualClock();
	const bucket = createTokenBucket(clock.now, {tokensPerSecond: 10, burst: 5});
	bucket.forceTake(15);
	clock.advance(1000);
	expect(bucket.tryTake(1)).toBe(false);
	clock.advance(100);
	expect(bucket.tryTake(1)).toBe(true);
});
