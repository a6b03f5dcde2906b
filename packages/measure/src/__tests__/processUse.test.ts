import process from 'node:process';
import {expect, test} from 'vitest';
import {sampleUse, compareUse} from '../processUse.js';

const samples = (resident: (index: number) => number, handles: (index: number) => number) => Array.from({length: 40}, (_, index) => ({residentMegabytes: resident(index), handles: handles(index)}));

test.each([
	{name: 'steady', flat: true, use: samples(() => 90, () => 60)},
	{name: 'memory grows', flat: false, use: samples(index => 90 + (2 * index), () => 60)},
	{name: 'handles grow', flat: false, use: samples(() => 90, index => 60 + (5 * index))},
])('$name', ({use, flat}) => {
	expect(compareUse(use).flat).toBe(flat);
});

test('a sample of this process shows its memory and handles', async () => {
	const sample = await sampleUse(process.pid);
	expect(sample!.residentMegabytes).toBeGreaterThan(1);
	expect(sample!.handles).toBeGreaterThan(2);
});
