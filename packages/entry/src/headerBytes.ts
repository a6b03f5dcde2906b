/**
 * Size of header blocks.
 */

/** Separators of one header line. */
const headerOverheadBytes = 4;

/**
 * Size of a header block.
 *
 * @param rawHeaders - Names and values in turn.
 * @returns Bytes, with separators.
 */
export const headerBytes = (rawHeaders: readonly string[]): number => {
	let bytes = 0;
	for (const text of rawHeaders) {
		bytes += text.length;
	}

	return bytes + (rawHeaders.length / 2 * headerOverheadBytes);
};
