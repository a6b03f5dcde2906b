import {NEVER, of} from 'rxjs';
import {expect, test} from 'vitest';
import type {Configuration} from '@filbertwell/types/configuration';
import {firstConfiguration} from '../firstConfiguration.js';

const configuration = {version: 3} as Configuration;

test('a configuration in force is taken', async () => {
	expect(await firstConfiguration({inForce: of(configuration)}, new AbortController().signal)).toBe(configuration);
});

test.each([
	['before the wait', true],
	['during the wait', false],
])('a stop %s ends it', async (_name, isEarly) => {
	const stopping = new AbortController();
	if (isEarly) {
		stopping.abort();
	}

	const waiting = firstConfiguration({inForce: NEVER}, stopping.signal);
	stopping.abort();
	expect(await waiting).toBeUndefined();
});
