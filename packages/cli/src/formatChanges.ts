/**
 * Formats the changes between two intents as text.
 */
import {formatIntentChange, type IntentChange} from '@filbertwell/intent/diffIntent';
import type {Palette} from './formatTable.js';

const maximumLines = 100;

const selectColour = (change: IntentChange, palette: Palette) => {
	switch (change.kind) {
		case 'added': {
			return palette.addition;
		}

		case 'removed': {
			return palette.removal;
		}

		case 'changed':
		case 'reordered': {
			return palette.heading;
		}
	}
};

/**
 * Formats changes as lines of text, truncated after 100 changes.
 *
 * @param changes - The changes.
 * @param palette - Colours of the output.
 * @returns One line for each change; the line `no changes` if there are none.
 */
export const formatChanges = (changes: readonly IntentChange[], palette: Palette): string[] => {
	if (changes.length === 0) {
		return ['no changes'];
	}

	const lines = changes.slice(0, maximumLines).map(change => selectColour(change, palette)(formatIntentChange(change)));
	return changes.length > maximumLines ? [...lines, `and ${changes.length - maximumLines} more changes; --json prints all`] : lines;
};
