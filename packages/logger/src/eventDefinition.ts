/**
 * Definition of numbered log events.
 */

/** Severity of an event. */
export type EventLevel = 'debug' | 'info' | 'warn' | 'error';

/** Definition of a log event. Its number never changes and is never reused. */
export type EventDefinition = {
	readonly number: number;
	readonly name: string;
	readonly level: EventLevel;
	/** Meaning of the event and the action for an operator; printed on the page docs/LOG-EVENTS.md. */
	readonly meaning: string;
};

/**
 * Defines the events of one area with their keys preserved in the type.
 *
 * @param definitions - Event definitions by their name in code.
 * @returns The same definitions.
 */
export const defineEvents = <Name extends string>(definitions: Readonly<Record<Name, EventDefinition>>) => definitions;
