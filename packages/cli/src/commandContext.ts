/**
 * Dependencies of the commands: settings, platform client, clock and colours of the output.
 */
import {userInfo} from 'node:os';
import process from 'node:process';
import {silentLogger} from '@filbertwell/logger/logger';
import {createHttpPlatform, type HttpPlatform} from '@filbertwell/platform/httpPlatform';
import {loadOperatorSettings, type OperatorSettings} from '@filbertwell/settings/operatorSettings';
import {formatSettingsError} from '@filbertwell/settings/settingsError';
import {monotonicClock, type Clock} from '@filbertwell/utils/clock';
import {createRandom} from '@filbertwell/utils/random';
import {ok, type Result} from 'neverthrow';
import {createFailure, type CommandFailure} from './commandFailure.js';
import {createPalette, type Palette} from './formatTable.js';

/** Options that all commands accept. */
export type GlobalOptions = {
	/** Path of the settings file (INI). */
	readonly settings: string;
	readonly json: boolean;
	readonly color: boolean;
};

/** Dependencies passed to each command that needs the settings. */
export type CommandContext = {
	readonly settings: OperatorSettings;
	readonly platform: HttpPlatform;
	/** Author of changes, as recorded in the configuration history. */
	readonly author: string;
	readonly clock: Clock;
	readonly palette: Palette;
};

const userName = (): string => {
	try {
		return userInfo().username;
	} catch {
		return 'unknown';
	}
};

/**
 * Loads the settings file and creates the context of a command.
 *
 * @param options - Global options of the command line.
 * @returns The context, or a failure with the errors of the settings file. The caller closes its platform client.
 */
export const createContext = (options: GlobalOptions): Result<CommandContext, CommandFailure> => {
	const settings = loadOperatorSettings(options.settings);
	if (settings.isErr()) {
		return createFailure(
			'invalidInput',
			`settings file ${options.settings} is invalid; correct it, or pass another one with --settings`,
			settings.error.map(error => formatSettingsError(error)),
			settings.error,
		);
	}

	const {platform: {host, port, timeoutMs, maximumCalls}, operator} = settings.value;
	const platform = createHttpPlatform({
		address: {host, port},
		timeoutMs,
		clock: monotonicClock,
		random: createRandom(process.pid),
		log: silentLogger,
		maximumActive: maximumCalls,
	});
	return ok({
		settings: settings.value,
		platform,
		author: operator.author === '' ? userName() : operator.author,
		clock: monotonicClock,
		palette: createPalette(options.color && !options.json && process.stdout.isTTY),
	});
};
