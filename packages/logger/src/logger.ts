/**
 * Writes structured log lines to standard output, one JSON object per line. The namespaces of `debug`
 * select the components. The lines are written with `sonic-boom`, because `debug` writes synchronously
 * and a reader that stops reading would block the process. The volume is limited per event and second,
 * and by the number of buffered bytes.
 */
import createDebug from 'debug';
import sonicBoom from 'sonic-boom';
import {createLineLimit} from './lineLimit.js';
import type {EventDefinition} from './eventDefinition.js';

/** Value of a field of a log line. */
export type FieldValue = string | number | boolean | undefined;

/** Fields of a log line. */
export type Fields = Readonly<Record<string, FieldValue>>;

/** Writes one log line for an event; does nothing if the component is not selected or a limit is reached. */
export type Logger = (event: EventDefinition, fields?: Fields) => void;

/** Maximum number of bytes buffered for the reader; further lines are dropped. */
const maximumWaitingBytes = 262_144;
const standardOutput = 1;

type Output = InstanceType<typeof sonicBoom.SonicBoom>;

let output: Output | undefined;

const getOutput = (): Output => {
	if (output === undefined) {
		output = new sonicBoom.SonicBoom({fd: standardOutput, sync: false, maxLength: maximumWaitingBytes});
		// A reader that has closed the pipe must not end the process, and there is nowhere to report the error.
		output.on('error', () => undefined);
	}

	return output;
};

/**
 * Creates the logger of a component.
 *
 * @param component - Last part of the debug namespace.
 * @returns The logger; it writes lines while `DEBUG` or `enableLogs` selects the component.
 */
export const createLogger = (component: string): Logger => {
	const selection = createDebug(`filbertwell:${component}`);
	const limit = createLineLimit();
	return (event, fields = {}) => {
		if (!selection.enabled) {
			return;
		}

		const permit = limit(event.number);
		if (permit.isAllowed) {
			getOutput().write(`${JSON.stringify({
				time: new Date().toISOString(), event: event.number, level: event.level, component, name: event.name, ...fields, dropped: permit.dropped > 0 ? permit.dropped : undefined,
			})}\n`);
		}
	};
};

/**
 * Selects the components whose lines are written, replacing the selection of `DEBUG`.
 *
 * @param namespaces - Namespaces in the syntax of `DEBUG`, for example `filbertwell:*`.
 */
export const enableLogs = (namespaces: string): void => {
	createDebug.enable(namespaces);
};

/** A logger that writes nothing, for tests and tools. */
export const silentLogger: Logger = () => undefined;
