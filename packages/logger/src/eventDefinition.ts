/**
 * Numbered log events.
 */

/** Severity of an event. */
export type EventLevel = 'debug' | 'info' | 'warn' | 'error';

/** A kind of log event. Its number never changes and is never used again. */
export type EventDefinition = {
	readonly number: number;
	readonly name: string;
	readonly level: EventLevel;
	/** What it means and what an operator does about it; printed in the catalogue. */
	readonly meaning: string;
};

/**
 * Defines the events of one area.
 *
 * @param definitions - Events by their name in code.
 * @returns The same definitions, typed by name.
 */
export const defineEvents = <Name extends string>(definitions: Readonly<Record<Name, EventDefinition>>) => definitions;
