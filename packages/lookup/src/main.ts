#!/usr/bin/env node
/**
 * `filbertwell-lookup`: serves look-ups without routing requests.
 */
import {runProgram} from '@filbertwell/entry/runProgram';
import {loadLookupSettings} from '@filbertwell/settings/lookupSettings';
import {startLookupRuntime} from './lookupRuntime.js';

await runProgram({
	name: 'filbertwell-lookup', processDescription: 'a look-up process', load: loadLookupSettings, start: async (settings, {seed, stopRequested}) => startLookupRuntime(settings, seed, stopRequested),
});
