/**
 * Lists the changes between two intents for people.
 */
import {formatIntentChange, type IntentChange} from '@filbertwell/intent/diffIntent';
import type {Palette} from './formatTable.js';

const maximumLines = 100;

const colourOf = (change: IntentChange, palette: Palette) => {
	switch (change.kind) {
		case 'added': {
			return palette.good;
		}

		case 'removed': {
			return palette.bad;
		}

		case 'changed':
		case 'reordered': {
			return palette.heading;
		}
	}
};

/**
 * Formats changes, at most 100 of them.
 *
 * @param changes - The changes.
 * @param palette - Colours.
 * @returns One line for each change; one that says so where there is none.
 */
export const formatChanges = (changes: readonly IntentChange[], palette: Palette): string[] => {
	if (changes.length === 0) {
		return ['no changes'];
	}

	const lines = changes.slice(0, maximumLines).map(change => colourOf(change, palette)(formatIntentChange(change)));
	return changes.length > maximumLines ? [...lines, `and ${changes.length - maximumLines} more changes; --json prints all`] : lines;
};
