/**
 * What is wrong with an intent, with its place, the bad value and the fix.
 */

/** One problem of an intent. */
export type IntentProblem = {
	/** Place in the document, as `services[0].endpoints[2].slots`; empty for the whole document. */
	readonly path: string;
	/** The bad value as JSON, shortened; empty where there is none. */
	readonly value: string;
	readonly problem: string;
	readonly fix: string;
};

const maximumValueLength = 120;

/**
 * Shortens a value for a message.
 *
 * @param value - Any JSON value.
 * @returns Its JSON, cut to a length that fits a line; empty for `undefined`.
 */
export const showValue = (value: unknown): string => {
	const text = JSON.stringify(value) ?? '';
	return text.length > maximumValueLength ? `${text.slice(0, maximumValueLength)}...` : text;
};

/**
 * Formats a path of keys and indices.
 *
 * @param path - Keys and indices from the root.
 * @returns For instance `services[0].name`.
 */
export const formatPath = (path: readonly PropertyKey[]): string => path
	.map((part, index) => {
		if (typeof part === 'number') {
			return `[${part}]`;
		}

		return index === 0 ? String(part) : `.${String(part)}`;
	})
	.join('');

/**
 * Formats a problem for a person.
 *
 * @param problem - The problem.
 * @returns One line: place, value, problem and fix.
 */
export const formatIntentProblem = ({path, value, problem, fix}: IntentProblem): string => {
	const place = path === '' ? '(document)' : path;
	return `${place}${value === '' ? '' : ` = ${value}`}: ${problem}; ${fix}`;
};
