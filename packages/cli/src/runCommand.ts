/**
 * Runs a command and writes its outcome.
 */
import process from 'node:process';
import {err} from 'neverthrow';
import {createContext, type CommandContext, type GlobalOptions} from './commandContext.js';
import {failed, type CommandOutcome} from './commandFailure.js';
import {showOutcome} from './showReport.js';

const processStreams = {
	stdout(text: string) {
		process.stdout.write(text);
	},
	stderr(text: string) {
		process.stderr.write(text);
	},
};

/**
 * Writes an outcome and sets the exit code.
 *
 * @param outcome - The outcome.
 * @param isJson - Whether programs read it.
 */
export const finishCommand = (outcome: CommandOutcome, isJson: boolean): void => {
	process.exitCode = showOutcome(outcome, isJson, processStreams);
};

const internalFailure = (error: unknown): CommandOutcome => {
	const detail = error instanceof Error ? error.stack ?? error.message : String(error);
	return failed('internal', 'internal fault; report it with the lines below', [detail]);
};

/**
 * Runs a command that needs no settings.
 *
 * @param options - Options of the command line.
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
 * Runs a command that needs the settings.
 *
 * @param options - Options of the command line.
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
