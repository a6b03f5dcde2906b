/**
 * Helpers of the checks between fields.
 */
import {nearestName} from '@filbertwell/utils/nearestName';
import {type IntentProblem, showValue} from '../intentProblem.js';

/**
 * Makes a problem of a value at a path.
 *
 * @param path - Place in the document.
 * @param value - The bad value.
 * @param problem - What is wrong.
 * @param fix - What to do about it.
 * @returns The problem.
 */
export const problemAt = (path: string, value: unknown, problem: string, fix: string): IntentProblem => ({
	path, value: showValue(value), problem, fix,
});

/** A value with its place in the document. */
export type Placed<Value> = {
	readonly path: string;
	readonly value: Value;
};

/**
 * Places the items of a list.
 *
 * @param path - Path of the list.
 * @param items - The list.
 * @param key - Key below each item, with its dot, or empty for the item itself.
 * @param select - Picks the value below each item.
 * @returns The values with their paths.
 */
export const place = <Item, Value>(path: string, items: readonly Item[], key: string, select: (item: Item) => Value): Array<Placed<Value>> =>
	items.map((item, index) => ({path: `${path}[${index}]${key}`, value: select(item)}));

/**
 * Finds values that are given more than once.
 *
 * @param placed - Values with their places.
 * @param noun - What the values are, for the message.
 * @returns A problem for each repetition, naming the first place.
 */
export const findDuplicates = (placed: ReadonlyArray<Placed<string>>, noun: string): IntentProblem[] => {
	const firstPaths = new Map<string, string>();
	const problems: IntentProblem[] = [];
	for (const {path, value} of placed) {
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
 * Finds names that nothing in the document bears.
 *
 * @param placed - Names with their places.
 * @param known - Names that exist.
 * @param noun - What the names stand for, for the message.
 * @returns A problem for each unknown name, with the nearest known one.
 */
export const findUnknown = (placed: ReadonlyArray<Placed<string>>, known: readonly string[], noun: string): IntentProblem[] => {
	const knownSet = new Set(known);
	return placed
		.filter(({value}) => !knownSet.has(value))
		.map(({path, value}) => {
			const nearest = nearestName(value, known);
			return problemAt(path, value, `unknown ${noun}`, nearest === undefined ? `define a ${noun} with this name` : `define it, or use the nearest known ${noun} "${nearest}"`);
		});
};
