/**
 * Tables for people.
 */
import {stripVTControlCharacters, styleText} from 'node:util';
import Table from 'cli-table3';

/** Whether text is coloured. */
export type Palette = {
	readonly heading: (text: string) => string;
	readonly good: (text: string) => string;
	readonly bad: (text: string) => string;
};

const plain = (text: string) => text;

/**
 * Creates the colours of the output.
 *
 * @param isColoured - Whether the output is a terminal that shows colours.
 * @returns Functions that colour a text, or leave it as it is.
 */
export const createPalette = (isColoured: boolean): Palette => isColoured
	? {
		heading: text => styleText('bold', text),
		good: text => styleText('green', text),
		bad: text => styleText('red', text),
	}
	: {heading: plain, good: plain, bad: plain};

const noBorders = {
	top: '', 'top-mid': '', 'top-left': '', 'top-right': '',
	bottom: '', 'bottom-mid': '', 'bottom-left': '', 'bottom-right': '',
	left: '', 'left-mid': '', mid: '', 'mid-mid': '',
	right: '', 'right-mid': '', middle: '  ',
};

/** Control characters in names from elsewhere must not reach the terminal. */
const clean = (text: string) => stripVTControlCharacters(text).replaceAll(/[\u0000-\u001F\u007F]/gu, '?'); // eslint-disable-line no-control-regex

/**
 * Formats rows as an aligned table without borders.
 *
 * @param headings - Headings of the columns.
 * @param rows - Cells of each row.
 * @param palette - Colours.
 * @returns The table; lines have no blanks at their ends.
 */
export const formatTable = (headings: readonly string[], rows: ReadonlyArray<readonly string[]>, palette: Palette): string => {
	const table = new Table({
		head: headings.map(heading => palette.heading(heading)),
		chars: noBorders,
		style: {
			'padding-left': 0, 'padding-right': 0, head: [], border: [],
		},
	});
	table.push(...rows.map(row => row.map(cell => clean(cell))));
	return table.toString().split('\n').map(line => line.trimEnd()).join('\n');
};
