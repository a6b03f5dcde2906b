#!/usr/bin/env node
/**
 * `filbertwell-entry`: carries callers' requests to upstreams and answers look-ups.
 */
import {randomInt} from 'node:crypto';
import process from 'node:process';
import {processEvents} from '@filbertwell/logger/events/processEvents';
import {createLogger, enableLogs} from '@filbertwell/logger/logger';
import {loadEntrySettings} from '@filbertwell/settings/entrySettings';
import {formatSettingsError} from '@filbertwell/settings/settingsError';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {startEntryRuntime} from './entryRuntime.js';

const exitCodes = {settings: 78, listen: 69, invariant: 70} as const;
const maximumSeed = 2 ** 31;

const options = await yargs(hideBin(process.argv))
	.scriptName('filbertwell-entry')
	.option('settings', {
		type: 'string', demandOption: true, requiresArg: true, describe: 'Settings file (INI)',
	})
	.option('check-settings', {type: 'boolean', default: false, describe: 'Check the settings and exit'})
	.example('$0 --settings entry.ini', 'Run an entry')
	.example('$0 --settings entry.ini --check-settings', 'Only check the settings')
	.epilogue(`Exit codes: 0 stopped, ${exitCodes.settings} wrong settings, ${exitCodes.listen} an address can't be listened on, ${exitCodes.invariant} internal error`)
	.strict()
	.help()
	.parseAsync();

const stopOnBrokenInvariant = (error: unknown): void => {
	createLogger('entry')(processEvents.invariantBroken, {error: error instanceof Error ? error.stack : String(error)});
	process.exit(exitCodes.invariant);
};

const run = async (): Promise<void> => {
	const loaded = loadEntrySettings(options.settings);
	if (loaded.isErr()) {
		for (const error of loaded.error) {
			console.error(formatSettingsError(error));
		}

		process.exitCode = exitCodes.settings;
		return;
	}

	if (options.checkSettings) {
		console.log(`${options.settings}: the settings are valid`);
		return;
	}

	const settings = loaded.value;
	if (settings.log.namespaces !== '') {
		enableLogs(settings.log.namespaces);
	}

	process.on('uncaughtException', stopOnBrokenInvariant);
	process.on('unhandledRejection', stopOnBrokenInvariant);
	try {
		const runtime = await startEntryRuntime(settings, randomInt(maximumSeed));
		for (const signalName of ['SIGTERM', 'SIGINT'] as const) {
			process.on(signalName, () => {
				void runtime.stop();
			});
		}
	} catch (error) {
		console.error(`${options.settings}: ${error instanceof Error ? error.message : String(error)}; choose other addresses or end the process that holds them`);
		process.exit(exitCodes.listen);
	}
};

await run();
