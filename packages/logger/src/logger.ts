/**
 * Structured log lines on `debug`: one JSON object a line, under the namespace `filbertwell:<component>`.
 */
import createDebug from 'debug';
import type {EventDefinition} from './eventDefinition.js';

/** Value of a field of a log line. */
export type FieldValue = string | number | boolean | undefined;

/** Fields of a log line. */
export type Fields = Readonly<Record<string, FieldValue>>;

/** Writes one log line for an event. */
export type Logger = (event: EventDefinition, fields?: Fields) => void;

/**
 * Creates the logger of a component.
 *
 * @param component - Last part of the debug namespace.
 * @returns The logger. Lines appear while `DEBUG` or `enableLogs` selects the component.
 */
export const createLogger = (component: string): Logger => {
	const write = createDebug(`filbertwell:${component}`);
	return (event, fields = {}) => {
		if (write.enabled) {
			write('%s', JSON.stringify({
				event: event.number, level: event.level, name: event.name, ...fields,
			}));
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
