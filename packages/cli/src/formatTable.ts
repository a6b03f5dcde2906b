/**
 * Formats tables for a terminal.
 */
import {stripVTControlCharacters, styleText} from 'node:util';
import Table from 'cli-table3';

/** Functions that colour text by its role, or return it unchanged. */
export type Palette = {
	readonly heading: (text: string) => string;
	readonly addition: (text: string) => string;
	readonly removal: (text: string) => string;
};

const plain = (text: string) => text;

/**
 * Creates the palette of the output.
 *
 * @param isColoured - Whether to use colours.
 * @returns Functions that colour text; they return it unchanged without colours.
 */
export const createPalette = (isColoured: boolean): Palette => isColoured
	? {
		heading: text => styleText('bold', text),
		addition: text => styleText('green', text),
		removal: text => styleText('red', text),
	}
	: {heading: plain, addition: plain, removal: plain};

const noBorders = {
	top: '', 'top-mid': '', 'top-left': '', 'top-right': '',
	bottom: '', 'bottom-mid': '', 'bottom-left': '', 'bottom-right': '',
	left: '', 'left-mid': '', mid: '', 'mid-mid': '',
	right: '', 'right-mid': '', middle: '  ',
};

/** Removes escape sequences and replaces other control characters, which names from other processes could pass to the terminal. */
const removeControlCharacters = (text: string) => stripVTControlCharacters(text).replaceAll(/[\u0000-\u001F\u007F]/gu, '?'); // eslint-disable-line no-control-regex

/**
 * Formats rows as an aligned table without borders.
 *
 * @param headings - Headings of the columns.
 * @param rows - Cells of each row; control characters in them are removed.
 * @param palette - Colours of the output.
 * @returns The table, without trailing spaces in its lines.
 */
export const formatTable = (headings: readonly string[], rows: ReadonlyArray<readonly string[]>, palette: Palette): string => {
	const table = new Table({
		head: headings.map(heading => palette.heading(heading)),
		chars: noBorders,
		style: {
			'padding-left': 0, 'padding-right': 0, head: [], border: [],
		},
	});
	table.push(...rows.map(row => row.map(cell => removeControlCharacters(cell))));
	return table.toString().split('\n').map(line => line.trimEnd()).join('\n');
};
