import {NEVER, of} from 'rxjs';
import {expect, test} from 'vitest';
import {intent} from '@filbertwell/intent/buildIntent';
import type {Configuration} from '@filbertwell/types/configuration';
import {waitForFirstConfiguration} from '../firstConfiguration.js';

const configuration: Configuration = {
	version: 3,
	changeId: 'c',
	author: 'a',
	acceptedAt: '',
	intent: intent({
		deployment: 'test', regions: [], services: [], sitePreferences: [],
	}),
};

test('a configuration in force is returned', async () => {
	expect(await waitForFirstConfiguration({inForce: of(configuration)}, new AbortController().signal)).toBe(configuration);
});

test.each([
	['before the wait', true],
	['during the wait', false],
])('a stop %s ends the wait without a configuration', async (_name, isEarly) => {
	const stopping = new AbortController();
	if (isEarly) {
		stopping.abort();
	}

	const waiting = waitForFirstConfiguration({inForce: NEVER}, stopping.signal);
	stopping.abort();
	expect(await waiting).toBeUndefined();
});
