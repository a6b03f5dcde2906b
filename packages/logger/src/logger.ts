/**
 * Structured log lines on standard output: one JSON object a line. `debug` selects the components by its
 * namespaces; the lines themselves go through `sonic-boom`, since `debug` writes synchronously and a reader
 * that stops would stop the process. Volume is bounded: by event and second, and by the bytes that wait.
 */
import createDebug from 'debug';
import sonicBoom from 'sonic-boom';
import {createLineLimit} from './lineLimit.js';
import type {EventDefinition} from './eventDefinition.js';

/** Value of a field of a log line. */
export type FieldValue = string | number | boolean | undefined;

/** Fields of a log line. */
export type Fields = Readonly<Record<string, FieldValue>>;

/** Writes one log line for an event. */
export type Logger = (event: EventDefinition, fields?: Fields) => void;

/** Bytes that may wait for the reader; lines beyond are dropped. */
const maximumWaitingBytes = 262_144;
const standardOutput = 1;

type Output = InstanceType<typeof sonicBoom.SonicBoom>;

let output: Output | undefined;

const outputOf = (): Output => {
	if (output === undefined) {
		output = new sonicBoom.SonicBoom({fd: standardOutput, sync: false, maxLength: maximumWaitingBytes});
		// A reader that is gone must not end the process; there is nowhere to report it.
		output.on('error', () => undefined);
	}

	return output;
};

/**
 * Creates the logger of a component.
 *
 * @param component - Last part of the debug namespace.
 * @returns The logger. Lines appear while `DEBUG` or `enableLogs` selects the component.
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
			outputOf().write(`${JSON.stringify({
				time: new Date().toISOString(), event: event.number, level: event.level, component, name: event.name, ...fields, dropped: permit.dropped > 0 ? permit.dropped : undefined,
			})}\n`);
		}
	};
};

/**
 * Selects components to log, in the syntax of `DEBUG`.
 *
 * @param namespaces - For instance `filbertwell:*`.
 */
export const enableLogs = (namespaces: string): void => {
	createDebug.enable(namespaces);
};

/** A logger that drops everything. */
export const silentLogger: Logger = () => undefined;
