/**
 * Problems that validation finds in an intent, and their text form.
 */

/** A problem that validation finds in an intent. */
export type IntentProblem = {
	/** Path in the document, such as `services[0].endpoints[2].slots`; empty for the whole document. */
	readonly path: string;
	/** The invalid value as JSON, truncated; empty if the key is missing. */
	readonly value: string;
	readonly problem: string;
	readonly fix: string;
};

const maximumValueLength = 120;

/**
 * Formats a value as JSON for a message.
 *
 * @param value - Any JSON value, or `undefined`.
 * @returns The JSON, truncated after 120 characters; empty for `undefined`.
 */
export const formatValue = (value: unknown): string => {
	const text = JSON.stringify(value) ?? '';
	return text.length > maximumValueLength ? `${text.slice(0, maximumValueLength)}...` : text;
};

/**
 * Formats a path of keys and indices.
 *
 * @param path - Keys and indices, starting at the root of the document.
 * @returns The path, for instance `services[0].name`; empty for the root.
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
 * Formats a problem as a line of text.
 *
 * @param problem - The problem.
 * @returns One line with the path, value, problem and fix.
 */
export const formatIntentProblem = ({path, value, problem, fix}: IntentProblem): string => {
	const place = path === '' ? '(document)' : path;
	return `${place}${value === '' ? '' : ` = ${value}`}: ${problem}; ${fix}`;
};
