/**
 * Runs a long-lived process: parses the command line, loads settings, handles signals and sets exit codes.
 */
import {randomInt} from 'node:crypto';
import process from 'node:process';
import {processEvents} from '@filbertwell/logger/events/processEvents';
import {createLogger, enableLogs} from '@filbertwell/logger/logger';
import {formatSettingsError, type SettingsError} from '@filbertwell/settings/settingsError';
import type {Result} from 'neverthrow';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';

/** Settings that every process must have. */
type CommonSettings = {
	readonly log: {readonly namespaces: string};
};

/** A started process. */
type Runtime = {
	readonly stop: () => Promise<void>;
};

/** Values that are passed to a program in addition to its settings. */
export type ProgramContext = {
	/** Seed for the process's random numbers; a new one for each start. */
	readonly seed: number;
	/** Aborted on SIGTERM or SIGINT. */
	readonly stopRequested: AbortSignal;
	/** Path of the settings file. */
	readonly file: string;
};

/** Properties in which programs differ. */
export type Program<Settings extends CommonSettings> = {
	/** Name of the command. */
	readonly name: string;
	/** Noun phrase for the help text, such as `an entry`. */
	readonly processDescription: string;
	/** Environment variable with the path of the settings file, used if the command line has no `--settings`. */
	readonly settingsVariable?: string;
	readonly load: (path: string) => Result<Settings, readonly SettingsError[]>;
	/** Starts the process; rejects if it can't listen on an address. */
	readonly start: (settings: Settings, context: ProgramContext) => Promise<Runtime>;
};

const exitCodes = {settings: 78, listen: 69, invariant: 70} as const;
const maximumSeed = 2 ** 31;

const parseArguments = async (name: string, processDescription: string, settingsVariable: string | undefined) => yargs(hideBin(process.argv))
	.scriptName(name)
	.option('settings', {
		type: 'string', demandOption: true, requiresArg: true, describe: 'Settings file (INI)', default: settingsVariable === undefined ? undefined : process.env[settingsVariable],
	})
	.option('check-settings', {type: 'boolean', default: false, describe: 'Validate the settings and exit'})
	.example(`$0 --settings ${name}.ini`, `Run ${processDescription}`)
	.example(`$0 --settings ${name}.ini --check-settings`, 'Only validate the settings')
	.epilogue(`Exit codes: 0 stopped, ${exitCodes.settings} invalid settings, ${exitCodes.listen} can't listen on an address, ${exitCodes.invariant} internal error`)
	.strict()
	.help()
	.parseAsync();

const exitOnUnhandledError = (error: unknown): void => {
	createLogger('process')(processEvents.invariantBroken, {error: error instanceof Error ? error.stack : String(error)});
	process.exit(exitCodes.invariant); // eslint-disable-line unicorn/no-process-exit -- this is the program
};

const startAndServe = async <Settings extends CommonSettings>(program: Program<Settings>, settings: Settings, file: string): Promise<void> => {
	process.on('uncaughtException', exitOnUnhandledError);
	process.on('unhandledRejection', exitOnUnhandledError);
	const stopRequested = new AbortController();
	for (const signalName of ['SIGTERM', 'SIGINT'] as const) {
		process.on(signalName, () => {
			stopRequested.abort();
		});
	}

	try {
		const runtime = await program.start(settings, {seed: randomInt(maximumSeed), stopRequested: stopRequested.signal, file});
		stopRequested.signal.addEventListener('abort', () => {
			void runtime.stop();
		});
		if (stopRequested.signal.aborted) {
			await runtime.stop();
		}
	} catch (error) {
		console.error(`${file}: ${error instanceof Error ? error.message : String(error)}; choose another address or stop the process that uses it`);
		process.exit(exitCodes.listen); // eslint-disable-line unicorn/no-process-exit -- this is the program
	}
};

/**
 * Runs a program with the arguments of `process.argv`. On invalid settings it prints each error and
 * sets the exit code; other failures exit the process.
 *
 * @param program - Name, settings loader and start function of the program.
 */
export const runProgram = async <Settings extends CommonSettings>(program: Program<Settings>): Promise<void> => {
	const options = await parseArguments(program.name, program.processDescription, program.settingsVariable);
	const loaded = program.load(options.settings);
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

	await startAndServe(program, settings, options.settings);
};
