/**
 * What every command works with: settings, platform, clock and the manner of its output.
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
import {failed, type CommandFailure} from './commandFailure.js';
import {createPalette, type Palette} from './formatTable.js';

/** Options that every command takes. */
export type GlobalOptions = {
	/** Path of the INI file. */
	readonly settings: string;
	readonly json: boolean;
	readonly color: boolean;
};

/** What every command works with. */
export type CommandContext = {
	readonly settings: OperatorSettings;
	readonly platform: HttpPlatform;
	/** Name for the history. */
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
 * Creates the context of a command.
 *
 * @param options - Options of the command line.
 * @returns The context, or the errors of the settings file.
 */
export const createContext = (options: GlobalOptions): Result<CommandContext, CommandFailure> => {
	const settings = loadOperatorSettings(options.settings);
	if (settings.isErr()) {
		return failed(
			'invalidInput',
			`settings file ${options.settings} is not usable; correct it, or name another with --settings`,
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
