#!/usr/bin/env node
/**
 * `filbertwell-entry`: routes callers' requests to upstreams and serves look-ups.
 */
import {loadEntrySettings} from '@filbertwell/settings/entrySettings';
import {startEntryRuntime} from './entryRuntime.js';
import {runProgram} from './runProgram.js';

await runProgram({
	name: 'filbertwell-entry', processDescription: 'an entry', load: loadEntrySettings, start: async (settings, {seed, stopRequested}) => startEntryRuntime(settings, seed, stopRequested),
});
