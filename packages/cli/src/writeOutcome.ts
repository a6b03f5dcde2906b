/**
 * Writes the outcome of a command as text or as one JSON document.
 */
import type {CommandFailure, CommandOutcome} from './commandFailure.js';
import {exitCodes} from './exitCodes.js';

/** Functions that write to the standard streams. */
export type OutputStreams = {
	readonly stdout: (text: string) => void;
	readonly stderr: (text: string) => void;
};

const maximumDetails = 50;

const formatFailure = ({message, details}: CommandFailure): string => {
	const shown = details.slice(0, maximumDetails).map(detail => `  ${detail}`);
	const rest = details.length > maximumDetails ? [`  and ${details.length - maximumDetails} more; --json prints all`] : [];
	return [`filbertwell: ${message}`, ...shown, ...rest].join('\n');
};

const createFailureDocument = ({kind, message, details, data}: CommandFailure) => ({
	error: {
		kind, message, details, data,
	},
});

/**
 * Writes the outcome of a command. Text of a failure goes to standard error, all else to standard output.
 *
 * @param outcome - The outcome of a command.
 * @param isJson - Whether to write JSON instead of text.
 * @param streams - Standard output and standard error.
 * @returns The exit code.
 */
export const writeOutcome = (outcome: CommandOutcome, isJson: boolean, streams: OutputStreams): number => {
	if (outcome.isOk()) {
		streams.stdout(isJson ? `${JSON.stringify(outcome.value.data)}\n` : `${outcome.value.text}\n`);
		return exitCodes.done;
	}

	if (isJson) {
		streams.stdout(`${JSON.stringify(createFailureDocument(outcome.error))}\n`);
	} else {
		streams.stderr(`${formatFailure(outcome.error)}\n`);
	}

	return exitCodes[outcome.error.kind];
};
