/**
 * Runs a command, writes its outcome and sets the exit code.
 */
import process from 'node:process';
import {err} from 'neverthrow';
import {createContext, type CommandContext, type GlobalOptions} from './commandContext.js';
import {createFailure, type CommandOutcome} from './commandFailure.js';
import {writeOutcome} from './writeOutcome.js';

const processStreams = {
	stdout(text: string) {
		process.stdout.write(text);
	},
	stderr(text: string) {
		process.stderr.write(text);
	},
};

/**
 * Writes an outcome to the standard streams and sets the exit code of the process.
 *
 * @param outcome - The outcome of a command.
 * @param isJson - Whether to write JSON instead of text.
 */
export const finishCommand = (outcome: CommandOutcome, isJson: boolean): void => {
	process.exitCode = writeOutcome(outcome, isJson, processStreams);
};

const internalFailure = (error: unknown): CommandOutcome => {
	const detail = error instanceof Error ? error.stack ?? error.message : String(error);
	return createFailure('internal', 'internal error; report it with the lines below', [detail]);
};

/**
 * Runs a command that needs no settings. An exception is reported as an internal error.
 *
 * @param options - Global options of the command line.
 * @param run - The command.
 */
export const runLocalCommand = async (options: GlobalOptions, run: () => Promise<CommandOutcome>): Promise<void> => {
	let outcome: CommandOutcome;
	try {
		outcome = await run();
	} catch (error) {
		outcome = internalFailure(error);
	}

	finishCommand(outcome, options.json);
};

/**
 * Runs a command that needs the settings, and closes its platform client afterwards. An exception is reported
 * as an internal error.
 *
 * @param options - Global options of the command line.
 * @param run - The command.
 */
export const runCommand = async (options: GlobalOptions, run: (context: CommandContext) => Promise<CommandOutcome>): Promise<void> => {
	await runLocalCommand(options, async () => {
		const context = createContext(options);
		if (context.isErr()) {
			return err(context.error);
		}

		try {
			return await run(context.value);
		} finally {
			context.value.platform.close();
		}
	});
};
