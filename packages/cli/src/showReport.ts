/**
 * Writes outcomes: text for people, one JSON document for programs.
 */
import type {CommandFailure, CommandOutcome} from './commandFailure.js';
import {exitCodes} from './exitCodes.js';

/** Where outcomes are written. */
export type Streams = {
	readonly stdout: (text: string) => void;
	readonly stderr: (text: string) => void;
};

const maximumDetails = 50;

const failureText = ({message, details}: CommandFailure): string => {
	const shown = details.slice(0, maximumDetails).map(detail => `  ${detail}`);
	const rest = details.length > maximumDetails ? [`  and ${details.length - maximumDetails} more; --json prints all`] : [];
	return [`filbertwell: ${message}`, ...shown, ...rest].join('\n');
};

const failureData = ({kind, message, details, data}: CommandFailure) => ({
	error: {
		kind, message, details, data,
	},
});

/**
 * Writes an outcome.
 *
 * @param outcome - The outcome of a command.
 * @param isJson - Whether programs read it.
 * @param streams - Standard output and standard error.
 * @returns The exit code.
 */
export const showOutcome = (outcome: CommandOutcome, isJson: boolean, streams: Streams): number => {
	if (outcome.isOk()) {
		streams.stdout(isJson ? `${JSON.stringify(outcome.value.data)}\n` : `${outcome.value.text}\n`);
		return exitCodes.done;
	}

	if (isJson) {
		streams.stdout(`${JSON.stringify(failureData(outcome.error))}\n`);
	} else {
		streams.stderr(`${failureText(outcome.error)}\n`);
	}

	return exitCodes[outcome.error.kind];
};
