/**
 * Validates an intent: first against the schema, then against the rules that involve several fields.
 */
import type {Intent} from '@filbertwell/types/intent';
import {err, ok, type Result} from 'neverthrow';
import type * as z from 'zod';
import {checkCapacity} from './checks/checkCapacity.js';
import {checkDrains} from './checks/checkDrains.js';
import {checkLookups} from './checks/checkLookups.js';
import {checkTopology} from './checks/checkTopology.js';
import {checkServices} from './checks/checkServices.js';
import {checkShares} from './checks/checkShares.js';
import {formatPath, type IntentProblem, formatValue} from './intentProblem.js';
import {intentSchema} from './intentSchema.js';

type Issue = z.core.$ZodIssue;

const valueAt = (root: unknown, path: readonly PropertyKey[]): unknown => {
	let value = root;
	for (const key of path) {
		value = typeof value === 'object' && value !== null && Object.hasOwn(value, key) ? (value as Record<PropertyKey, unknown>)[key] : undefined;
	}

	return value;
};

const issueDescriptions: Partial<Record<Issue['code'], string>> = {
	unrecognized_keys: 'unknown key', // eslint-disable-line @typescript-eslint/naming-convention
	invalid_type: 'wrong type of value', // eslint-disable-line @typescript-eslint/naming-convention
	invalid_value: 'not a known value', // eslint-disable-line @typescript-eslint/naming-convention
	too_small: 'out of range', // eslint-disable-line @typescript-eslint/naming-convention
	too_big: 'out of range', // eslint-disable-line @typescript-eslint/naming-convention
};

const describeIssue = (issue: Issue, value: unknown): string => value === undefined
	? 'the key is missing'
	: issueDescriptions[issue.code] ?? 'malformed value';

const toProblems = (issue: Issue, root: unknown): IntentProblem[] => {
	const paths = issue.code === 'unrecognized_keys' ? issue.keys.map(key => [...issue.path, key]) : [issue.path];
	return paths.map(path => {
		const value = valueAt(root, path);
		return {
			path: formatPath(path), value: formatValue(value), problem: describeIssue(issue, value), fix: issue.message,
		};
	});
};

/**
 * Validates a value as an intent.
 *
 * @param value - Any value, usually parsed JSON.
 * @returns The intent, or the problems found. The cross-field rules are checked only if the value
 * matches the schema, and capacity only if the other rules hold.
 */
export const checkIntent = (value: unknown): Result<Intent, IntentProblem[]> => {
	const parsed = intentSchema.safeParse(value);
	if (!parsed.success) {
		return err(parsed.error.issues.flatMap(issue => toProblems(issue, value)));
	}

	const intent: Intent = parsed.data;
	const problems = [
		...checkTopology(intent),
		...checkServices(intent),
		...checkDrains(intent),
		...checkShares(intent),
		...checkLookups(intent),
	];
	// With unknown or duplicate names, the capacity check would report the same faults a second time.
	const allProblems = problems.length === 0 ? checkCapacity(intent) : problems;
	return allProblems.length === 0 ? ok(intent) : err(allProblems);
};

/**
 * Parses and validates an intent in JSON.
 *
 * @param text - Any text.
 * @returns The intent, or the problems found.
 */
export const parseIntent = (text: string): Result<Intent, IntentProblem[]> => {
	let value: unknown;
	try {
		value = JSON.parse(text);
	} catch (error) {
		return err([{
			path: '', value: formatValue(text.slice(0, 40)), problem: `malformed JSON (${(error as Error).message})`, fix: 'print the intent with printIntent, or correct the JSON there',
		}]);
	}

	return checkIntent(value);
};
