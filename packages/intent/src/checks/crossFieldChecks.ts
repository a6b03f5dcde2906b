/**
 * Helper functions for the checks that involve several fields.
 */
import {nearestName} from '@filbertwell/utils/nearestName';
import {type IntentProblem, formatValue} from '../intentProblem.js';

/**
 * Creates a problem for a value at a path.
 *
 * @param path - Path of the value in the document.
 * @param value - The invalid value, formatted and truncated in the problem.
 * @param problem - What is wrong with the value.
 * @param fix - How to correct it.
 * @returns The problem.
 */
export const problemAt = (path: string, value: unknown, problem: string, fix: string): IntentProblem => ({
	path, value: formatValue(value), problem, fix,
});

/** A value and its path in the document. */
export type ValueAtPath<Value> = {
	readonly path: string;
	readonly value: Value;
};

/**
 * Selects a value from each item of a list, together with its path.
 *
 * @param path - Path of the list in the document.
 * @param items - The list.
 * @param key - Key of the value in each item, with a leading dot; empty for the item itself.
 * @param select - Returns the value of an item.
 * @returns The values and their paths, in the order of the list.
 */
export const listValuesAt = <Item, Value>(path: string, items: readonly Item[], key: string, select: (item: Item) => Value): Array<ValueAtPath<Value>> =>
	items.map((item, index) => ({path: `${path}[${index}]${key}`, value: select(item)}));

/**
 * Finds values that occur more than once.
 *
 * @param values - Values and their paths.
 * @param noun - What the values are, for the message.
 * @returns A problem for each occurrence after the first, with the path of the first.
 */
export const findDuplicates = (values: ReadonlyArray<ValueAtPath<string>>, noun: string): IntentProblem[] => {
	const firstPaths = new Map<string, string>();
	const problems: IntentProblem[] = [];
	for (const {path, value} of values) {
		const firstPath = firstPaths.get(value);
		if (firstPath === undefined) {
			firstPaths.set(value, path);
		} else {
			problems.push(problemAt(path, value, `duplicate ${noun}, first given at ${firstPath}`, 'remove one of them or give it another value'));
		}
	}

	return problems;
};

/**
 * Finds references to names that the document does not define.
 *
 * @param values - Referenced names and their paths.
 * @param known - Names that the document defines.
 * @param noun - What the names refer to, for the message.
 * @returns A problem for each unknown name, with the most similar known name if there is one.
 */
export const findUnknown = (values: ReadonlyArray<ValueAtPath<string>>, known: readonly string[], noun: string): IntentProblem[] => {
	const knownSet = new Set(known);
	return values
		.filter(({value}) => !knownSet.has(value))
		.map(({path, value}) => {
			const nearest = nearestName(value, known);
			return problemAt(path, value, `unknown ${noun}`, nearest === undefined ? `define a ${noun} with this name` : `define it, or use the nearest known ${noun} "${nearest}"`);
		});
};
